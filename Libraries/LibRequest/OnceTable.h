#pragma once

#include <LibCore/Result.h>
#include <LibRequest/Fingerprint.h>
#include <LibRequest/Ticket.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Request {

/// How the home handles a request that carries one of its tickets.
enum class OnceDecision : std::uint8_t {
    Run, ///< First send: run it, then call `finish`.
    Join, ///< It is running: attach to its answer.
    Replay, ///< It ended: return the stored answer, or its verdict if the answer is no longer stored.
};

inline constexpr Core::EnumNames<OnceDecision, 3> onceDecisionNames { {
    { OnceDecision::Run, "run" },
    { OnceDecision::Join, "join" },
    { OnceDecision::Replay, "replay" },
} };

/// Records at the home which tickets were used, for as long as they are valid, so that a duplicate never runs
/// again. When the table is full, new tickets are refused; no entry is evicted early. Not thread-safe.
class OnceTable {
public:
    struct Settings {
        std::chrono::milliseconds ticketLifetime { std::chrono::minutes(10) };
        std::chrono::milliseconds keepAfterEnd { std::chrono::minutes(5) }; ///< As long as answers are kept.
        std::size_t maxTickets { 200'000 };
        std::size_t maxTicketsPerOrganisation { 50'000 }; ///< Keeps one organisation from filling the table.
    };

    /// Errors: BadInput when a setting is 0.
    static Core::Result<OnceTable> create(Settings);

    /// Decides on a send. Precondition: the ticket passed `TicketIssuer::verify`. A time earlier than one passed
    /// before counts as that one: threads may read the clock in a different order than they call this.
    /// Errors: Conflict (not run: another request has this ticket), Timeout (may have run: expired and no longer
    /// remembered), Overloaded (not run: the table or the organisation's part of it is full, or this ticket is older
    /// than a refusal for that reason; a fresh ticket is needed).
    Core::Result<OnceDecision> begin(Ticket const&, Fingerprint const&, std::string_view organisation, TimePoint now);

    /// Records the final verdict of a request that `begin` let run. A ticket reported as 'not run' never runs later either.
    void finish(TicketNonce const&, Core::Verdict, TimePoint now);

    /// Returns the final verdict, or nothing while it runs or when it is unknown here.
    std::optional<Core::Verdict> verdictOf(TicketNonce const&) const;

    /// Removes expired entries; `begin` does so too.
    void expire(TimePoint now);

    std::size_t size() const { return m_entries.size(); }

private:
    /// An organisation's usage of the table. Kept while it has tickets, and after a refusal for as long as the refused
    /// ticket is valid.
    struct Organisation {
        std::size_t tickets { 0 };
        std::optional<TimePoint> refusedBefore; ///< Its unseen tickets issued up to here never run.
    };
    using Organisations = std::map<std::string, Organisation, std::less<>>;

    struct Entry {
        Fingerprint fingerprint;
        Organisations::iterator organisation;
        bool isRunning { true };
        Core::Verdict verdict { Core::Verdict::MayHaveRun };
        TimePoint expiresAt; ///< Once it has ended.
    };

    explicit OnceTable(Settings);
    bool isRefusedForRoom(Ticket const&, Organisations::iterator);
    void forgetIfIdle(Organisations::iterator);
    void expireTickets();
    void expireOrganisations();
    void schedule(TicketNonce const&, TimePoint expiry);

    Settings m_settings;
    boost::unordered_flat_map<TicketNonce, Entry, TicketNonceHash> m_entries;
    Organisations m_organisations;
    std::map<std::int64_t, std::vector<TicketNonce>> m_expiries; ///< By second of expiry, rounded up.
    std::multimap<TimePoint, std::string> m_refusalExpiries; ///< Organisations with a `refusedBefore`.
    TimePoint m_now; ///< The latest time passed in.
    std::optional<TimePoint> m_refusedBefore; ///< Unseen tickets issued up to here never run.
};

}
