#pragma once

#include <LibStandIn/Api.h>
#include <LibStandIn/ServiceCore.h>

namespace StandIn {

/// The stand-in plain service (docs/design/platform-protocols.md, "Plain service").
class ServiceApi final : public Api {
public:
    static std::shared_ptr<ServiceApi> create(std::string name);

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

    ServiceCore& core() { return m_core; }

private:
    explicit ServiceApi(std::string name);
    Http::Response run(Http::Request const&);
    Http::Response respondRuns() const;

    std::string m_name;
    ServiceCore m_core;
};

}
