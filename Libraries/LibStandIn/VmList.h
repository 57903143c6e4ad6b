#pragma once

#include <LibCore/Result.h>
#include <boost/json/object.hpp>
#include <chrono>
#include <deque>
#include <string>
#include <string_view>

namespace StandIn {

/// The state of the stand-in VM list: a document that is shown as it was a fixed time ago.
/// Not thread-safe. Times handed in never go back.
class VmList {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Creates an empty list that is shown `lag` late.
    explicit VmList(std::chrono::milliseconds lag);

    /// Checks and stores a new document, `{"vms":[...]}`. The first one shows at once.
    /// Errors: BadInput with what is wrong; the list then stays as it was.
    Core::Result<void> replace(std::string_view document, Time now);

    /// Changes the state of one VM: "live", "leaving", or "gone", which removes it.
    /// Errors: NotFound for an unknown name, BadInput for another state.
    Core::Result<void> setState(std::string_view name, std::string_view state, Time now);

    /// Returns the document as it was one lag before `now`.
    boost::json::object const& shownAt(Time now);

private:
    struct Version {
        Time since;
        boost::json::object document;
    };

    std::chrono::milliseconds m_lag;
    std::deque<Version> m_versions;
};

}
