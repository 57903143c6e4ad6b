#pragma once

#include <LibStandIn/Api.h>
#include <boost/json/array.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace StandIn {

/// Stands in for the service of the users' platform that takes the calls of singleton duties. It refuses fencing numbers below one that
/// it has seen, and remembers all reports and orders that it has accepted. Use from its thread only.
class DutyServiceApi final : public Api {
public:
    static std::shared_ptr<DutyServiceApi> create() { return std::shared_ptr<DutyServiceApi>(new DutyServiceApi); }

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

private:
    DutyServiceApi() = default;
    Http::Response take(Http::Request const&, std::string const& subject);
    Http::Response takeReport(Http::Request const&);
    Http::Response takeOrder(Http::Request const&);
    Http::Response log() const;

    std::map<std::string, std::uint64_t> m_fencing; ///< The highest number seen, by subject.
    boost::json::array m_reports; ///< As they came, repeats too.
    boost::json::array m_orders;
    Faults m_faults;
};

}
