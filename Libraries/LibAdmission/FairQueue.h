#pragma once

#include <LibAdmission/Demand.h>
#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace Admission {

/// A number for an organisation that has work here.
using OrganisationId = std::uint32_t;

/// A waiting request.
struct Waiting {
    RequestId id { 0 };
    OrganisationId organisation { 0 };
    int priority { 0 };
    std::uint64_t tokens { 1 };
    TimePoint latestStart;
};

/// The waiting requests of one group, by start-time fair queueing (Goyal, Vin and Cheng, 1996) over estimated
/// tokens: among organisations, and within each among its priorities. A token of a higher priority counts for less,
/// at both levels, so higher priorities go first and the lowest still gets its share. Not thread-safe.
class FairQueue {
public:
    /// Where a request waits; valid until it is taken or removed.
    struct Place {
        OrganisationId organisation { 0 };
        int priority { 0 };
        std::list<Waiting>::iterator it;
    };

    /// Adds a request at the end of its organisation's and priority's line.
    Place add(Waiting);

    /// Takes a request out that will not be served.
    void remove(Place const&);

    /// Serves one request: offers the next ones in fair order to `accept`, at most `maxOffers`, and takes out the
    /// first one that is accepted.
    std::optional<Waiting> serve(std::function<bool(Waiting const&)> const& accept, int maxOffers);

    /// Charges work that was let through without waiting, so that it counts against its organisation's share.
    void charge(OrganisationId, int priority, std::uint64_t tokens);

    /// Sets whether an organisation's requests may be served at present (its limit in flight). Precondition: it
    /// has a flow here, or this changes nothing.
    void setEligible(OrganisationId, bool isEligible);

    /// Forgets an organisation without waiting requests.
    void forget(OrganisationId);

    /// The last request of the organisation with the longest line, when that is longer than `than`.
    Waiting const* lastOfLongest(std::size_t than) const;

    std::size_t size() const { return m_size; }

    /// How many organisations have a waiting request that may be served.
    std::size_t readyOrganisations() const { return m_ready.size(); }

    std::size_t sizeOf(OrganisationId) const;

    /// Estimated tokens before a new request would start.
    double tokensAhead(OrganisationId, int priority) const;

private:
    struct Flow {
        OrganisationId organisation { 0 };
        double start { 0 };
        double innerTime { 0 };
        std::array<double, priorityCount> innerStarts {};
        std::array<std::list<Waiting>, priorityCount> lines;
        std::size_t size { 0 };
        std::uint64_t tokens { 0 };
        bool isEligible { true };
    };

    Flow& flow(OrganisationId);
    static int nextPriority(Flow const&);
    bool isReady(Flow const& it) const { return it.isEligible && it.size > 0; }
    void unlist(Flow const&);
    void list(Flow const&);
    Waiting take(Flow&, int priority);
    void serveFrom(Flow&, int priority, std::uint64_t tokens);

    boost::unordered_flat_map<OrganisationId, std::unique_ptr<Flow>> m_flows;
    std::set<std::pair<double, OrganisationId>> m_ready; ///< By start.
    std::set<std::pair<std::size_t, OrganisationId>> m_bySize; ///< Those with waiting requests.
    std::size_t m_size { 0 };
    std::uint64_t m_tokens { 0 };
    double m_time { 0 }; ///< Start of the request served last.
};

}
