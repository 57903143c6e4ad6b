#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// The request rate that a target accepts from all daemons together, as one of its answers stated it to a daemon.
struct RateLimitReport {
    std::uint64_t target { 0 };
    std::optional<double> perSecond; ///< Empty if it states no limit any more.
    std::chrono::milliseconds age { 0 }; ///< Since that answer.

    bool operator==(RateLimitReport const&) const = default;
};

/// A rate limit in force, in requests per second.
struct RateLimitStatus {
    double perSecond { 0 }; ///< From all daemons together.
    double share { 0 }; ///< Of this daemon; 0 if it sends the target nothing.

    bool operator==(RateLimitStatus const&) const = default;
};

/// Keeps the rate limits that targets state and this daemon's share of each. All daemons choose the same few of them to send to
/// a limited target, by a hash of their names, and each of these gets an equal share: the more daemons there are, the less an
/// equal share of all would be used. A limit applies to the incarnation that stated it, until an answer to a later request does
/// not state one. Performs no I/O. Not thread-safe.
class RateLimits {
public:
    using Time = Core::BootClock::time_point;

    static constexpr Time never = Time::max();

    enum class Admission : std::uint8_t {
        Unlimited,
        Taken, ///< One request of the share has been used.
        Exhausted,
    };

    /// Sets the daemons that may send, this one aside. Before the first call this daemon has no share of any limit.
    void setDaemons(std::string const& self, std::vector<std::string> const& others, Time now);

    /// Records what an answer to a request that was sent at `sentAt` states; a zero `sentAt` if the request is not known.
    /// Returns whether the target's limit has changed.
    bool note(std::uint64_t target, std::optional<double> perSecond, Time sentAt, Time now);

    /// Records what a peer reports. Returns whether the target's limit has changed.
    bool hear(RateLimitReport const&, Time now);

    /// Returns what targets have recently stated to this daemon itself, for its peers.
    std::vector<RateLimitReport> own(Time now) const;

    /// Returns the limit of a target in requests per second.
    std::optional<double> limitOf(std::uint64_t target) const;

    /// Returns all limited targets.
    std::map<std::uint64_t, RateLimitStatus> limits() const;

    /// Returns when this daemon may send the target a request that has no booking: `now` if at once, `never` if it has no
    /// share.
    Time opensAt(std::uint64_t target, Time now) const;

    /// Takes one request of the share, if one is left now.
    Admission take(std::uint64_t target, Time now);

    /// Returns one request to the share that was taken and not sent.
    void giveBack(std::uint64_t target);

    /// Takes the next request of the share before it is due. Precondition: `opensAt` is not `never`.
    void book(std::uint64_t target, Time now);

    /// Returns when the next booking of any waiting request is due; empty if there is none.
    std::optional<Time> nextBooking(std::uint64_t target) const;

    /// Uses up the booking that is due first. Bookings are interchangeable, so that waiting requests keep their order.
    /// Precondition: there is one.
    void useBooking(std::uint64_t target);

    /// Cancels a booking and returns it to the share. Without effect if there is none.
    void cancelBooking(std::uint64_t target);

    /// Removes targets that have been unlisted for long. An entry may lapse and come back with the same incarnation.
    void keepListed(std::set<std::uint64_t> const& listed, Time now);

private:
    struct TargetState {
        std::optional<double> perSecond;
        Time statedAt; ///< When the answer that `perSecond` is from arrived, here or at a peer.
        Time statedHereAt; ///< When this daemon itself last got an answer that states what `perSecond` is.
        double share { 0 }; ///< Of this daemon, in requests per second.
        double tokens { 0 }; ///< At `refilledAt`; negative while requests are booked.
        Time refilledAt;
        std::deque<Time> bookings;
        std::optional<Time> unlistedSince;
    };

    double shareOf(std::uint64_t target, double perSecond) const;
    double tokensAt(TargetState const&, Time now) const;
    static void refill(TargetState&, double tokens, Time now);
    bool apply(std::uint64_t target, TargetState&, std::optional<double> perSecond, Time now);

    std::uint64_t m_self { 0 };
    std::vector<std::uint64_t> m_others; ///< Hashes of their names, sorted.
    bool m_knowsDaemons { false };
    std::map<std::uint64_t, TargetState> m_targets;
};

}
