#pragma once

#include <LibDaemon/AnswerKeeper.h>
#include <LibDaemon/ControlPlane.h>
#include <LibDaemon/Dispatcher.h>
#include <LibDaemon/Metrics.h>
#include <LibHttp/Server.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/json/array.hpp>
#include <memory>

namespace Daemon {

/// The operators' HTTP interface on the control thread (docs/operators/api.md). Use from that thread only.
class OperatorApi {
public:
    /// Preconditions: all arguments outlive the object.
    OperatorApi(Settings::DaemonSettings const&, ControlPlane&, Dispatcher&, AnswerKeeper&, Metrics&);

    /// Serves one request.
    boost::asio::awaitable<void> handle(Http::Request&, Http::ResponseWriter&);

private:
    boost::asio::awaitable<Http::Response> respond(Http::Request const&);
    boost::asio::awaitable<Http::Response> submit(Http::Request const&);
    bool isAuthorized(Http::Request const&) const;
    Http::Response config() const;
    Http::Response history(std::string_view target) const;
    boost::asio::awaitable<Http::Response> progress(std::string target);
    Http::Response status() const;
    boost::json::array leases() const;
    Http::Response explain(Http::Request const&) const;
    Http::Response readiness() const;
    Http::Response metrics() const;

    Settings::DaemonSettings const& m_settings;
    ControlPlane& m_control;
    Dispatcher& m_dispatcher;
    AnswerKeeper& m_keeper;
    Metrics& m_metrics;
};

}
