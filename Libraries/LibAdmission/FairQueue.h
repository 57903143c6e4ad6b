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

/// Internal id of an organisation with queued or in-flight requests.
using OrganisationId = std::uint32_t;

/// A queued request.
struct Waiting {
    RequestId id { 0 };
    OrganisationId organisation { 0 };
    int priority { 0 };
    std::uint64_t tokens { 1 };
    TimePoint latestStart;
};

/// The queued requests of one group, scheduled by start-time fair queueing (Goyal, Vin and Cheng, 1996) over estimated
/// tokens: across organisations, and within each organisation across priorities. Tokens of higher priorities cost less
/// at both levels, so higher priorities are served first without starving the lowest. Not thread-safe.
class FairQueue {
public:
    /// Position of a queued request; valid until it is dequeued or removed.
    struct Handle {
        OrganisationId organisation { 0 };
        int priority { 0 };
        std::list<Waiting>::iterator it;
    };

    /// Appends a request to the queue of its organisation and priority.
    Handle add(Waiting);

    /// Removes a request without serving it.
    void remove(Handle const&);

    /// Offers up to `maxOffers` requests to `accept` in fair order, and dequeues and returns the first one that it
    /// accepts.
    std::optional<Waiting> dequeueNext(std::function<bool(Waiting const&)> const& accept, int maxOffers);

    /// Charges a request that was admitted without queueing to its organisation's share.
    void charge(OrganisationId, int priority, std::uint64_t tokens);

    /// Sets whether an organisation's requests may be dequeued (it is below its in-flight limit). No effect for an
    /// organisation without a flow.
    void setEligible(OrganisationId, bool isEligible);

    /// Removes the flow of an organisation without queued requests.
    void removeOrganisation(OrganisationId);

    /// The last request of the organisation with the longest queue, if that is longer than `longerThan`; null otherwise.
    Waiting const* lastOfLongestQueue(std::size_t longerThan) const;

    std::size_t size() const { return m_size; }

    /// Number of organisations with a queued request that may be dequeued.
    std::size_t readyOrganisations() const { return m_ready.size(); }

    std::size_t sizeOf(OrganisationId) const;

    /// Estimated tokens that are served before a new request starts.
    double tokensAhead(OrganisationId, int priority) const;

private:
    struct Flow {
        OrganisationId organisation { 0 };
        double startTag { 0 };
        double priorityVirtualTime { 0 };
        std::array<double, priorityCount> priorityStartTags {};
        std::array<std::list<Waiting>, priorityCount> queues;
        std::size_t size { 0 };
        std::uint64_t tokens { 0 };
        bool isEligible { true };
    };

    Flow& flow(OrganisationId);
    static int nextPriority(Flow const&);
    bool isReady(Flow const& it) const { return it.isEligible && it.size > 0; }
    void removeFromIndexes(Flow const&);
    void addToIndexes(Flow const&);
    Waiting dequeueHead(Flow&, int priority);
    void advanceVirtualTime(Flow&, int priority, std::uint64_t tokens);

    boost::unordered_flat_map<OrganisationId, std::unique_ptr<Flow>> m_flows;
    std::set<std::pair<double, OrganisationId>> m_ready; ///< Ordered by start tag.
    std::set<std::pair<std::size_t, OrganisationId>> m_bySize; ///< Organisations with queued requests.
    std::size_t m_size { 0 };
    std::uint64_t m_tokens { 0 };
    double m_virtualTime { 0 }; ///< Start tag of the request served last.
};

}
