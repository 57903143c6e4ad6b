#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace State {

/// A service that gets a share of a route's requests.
struct RouteShare {
    std::string service;
    double weight { 1 }; ///< Relative to the other shares of the route.

    bool operator==(RouteShare const&) const = default;
};

/// How callers' requests for one host below one path are served.
struct EntryRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::vector<RouteShare> shares; ///< Never empty.
    bool isRepeatable { false }; ///< Its requests may run more than once.
    bool isStreamed { false }; ///< Answers are server-sent events.
    bool isResumable { false }; ///< A stream may go on at another target behind its last event.
    std::chrono::milliseconds timeout { 0 }; ///< Longest time to the final answer.
    std::chrono::milliseconds goal { 0 }; ///< Time to the answer, or a stream's first event, that callers want.
    std::chrono::milliseconds longestPause { 0 }; ///< Between two events of a stream; 0: not said.
    std::uint32_t maxAttempts { 1 }; ///< Targets to which one request may be sent.
    int priority { 5 }; ///< 0 first, 9 last.
    bool isPublic { false }; ///< Its requests need no key.

    bool operator==(EntryRoute const&) const = default;
};

/// Finds the route of a request: among those of its host, the one with the longest prefix of its path.
/// Immutable and thread-safe.
class EntryRoutes {
public:
    EntryRoutes() = default;
    explicit EntryRoutes(std::vector<EntryRoute>);

    /// Returns the route, or null. The host is compared as RFC 9110, section 4.2.3, says: without regard to case.
    EntryRoute const* find(std::string_view host, std::string_view path) const;

    std::vector<EntryRoute> const& all() const { return m_routes; }

private:
    std::vector<EntryRoute> m_routes;
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost; ///< Positions, the longest prefix first.
};

/// Returns the share that a request with this number falls into: the same for the same number and shares, and over
/// many numbers in proportion to the weights. Precondition: the route has a share. Thread-safe.
RouteShare const& chooseShare(EntryRoute const&, std::uint64_t number);

}
