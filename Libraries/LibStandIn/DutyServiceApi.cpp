#include <LibStandIn/DutyServiceApi.h>
#include <LibStandIn/FaultsReader.h>
#include <boost/json/parse.hpp>
#include <charconv>
#include <tuple>

namespace StandIn {

namespace {

std::uint64_t fencingOf(Http::Request const& request)
{
    std::string_view text = request.fields.find("X-Fence-Token").value_or("");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}

boost::asio::awaitable<void> DutyServiceApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string path = parseTarget(request.target).path;
    Http::Response response { static_cast<std::uint16_t>(Http::Status::NotFound), {}, {} };
    if (path == "/admin/faults")
        response = resultResponse(applyFaults(request.body, m_faults));
    else if (path == "/admin/duties")
        response = log();
    else if (m_faults.isDown)
        response.status = static_cast<std::uint16_t>(Http::Status::ServiceUnavailable);
    else if (path == "/usage")
        response = takeReport(request);
    else if (path == "/scale")
        response = takeOrder(request);
    bool isCall = path == "/usage" || path == "/scale";
    if (isCall && m_faults.loseReplies > 0) {
        --m_faults.loseReplies;
        writer.abort();
        co_return;
    }
    std::ignore = co_await writer.send(std::move(response));
}

// Refuses what is below the highest number of its subject.
Http::Response DutyServiceApi::take(Http::Request const& request, std::string const& subject)
{
    std::uint64_t& highest = m_fencing[subject];
    std::uint64_t fencing = fencingOf(request);
    if (fencing < highest)
        return { static_cast<std::uint16_t>(Http::Status::Conflict), {}, {} };
    highest = fencing;
    return { static_cast<std::uint16_t>(Http::Status::Ok), {}, "{}" };
}

Http::Response DutyServiceApi::takeReport(Http::Request const& request)
{
    Http::Response response = take(request, "usage");
    if (response.status == static_cast<std::uint16_t>(Http::Status::Ok)) {
        boost::json::object report = boost::json::parse(request.body.text()).as_object();
        report["holder"] = std::string(request.fields.find("X-Duty-Holder").value_or(""));
        report["fencing"] = fencingOf(request);
        m_reports.push_back(std::move(report));
    }
    return response;
}

Http::Response DutyServiceApi::takeOrder(Http::Request const& request)
{
    boost::json::object order = boost::json::parse(request.body.text()).as_object();
    Http::Response response = take(request, std::string(order.at("service").as_string()) + "/" + std::string(order.at("zone").as_string()));
    if (response.status == static_cast<std::uint16_t>(Http::Status::Ok))
        m_orders.push_back(std::move(order));
    return response;
}

Http::Response DutyServiceApi::log() const
{
    return objectResponse(Http::Status::Ok, { { "reports", m_reports }, { "orders", m_orders } });
}

}
