#pragma once

#include <LibOperator/ChangePlan.h>
#include <LibOperator/Client.h>
#include <LibOperator/CommandLine.h>
#include <LibOperator/ExitCode.h>
#include <cstdint>
#include <functional>
#include <ostream>

namespace Operator {

/// Carries out one command line. Not thread-safe.
class Commands {
public:
    /// `randomNumber` gives the random part of record ids. All arguments outlive the object.
    Commands(Client&, CommandLine const&, std::function<std::uint64_t()> randomNumber, std::ostream& out, std::ostream& err);

    /// Runs the command: results go to `out`, notes and errors to `err`. Precondition: `wantsHelp` is false.
    ExitCode run();

private:
    using Planner = std::function<Core::Result<ChangePlan>(ConfigDocument const&)>;

    ExitCode apply();
    ExitCode get();
    ExitCode diff();
    ExitCode history();
    ExitCode print(Core::Result<boost::json::object> const& answer);
    ExitCode drain(bool isDrained);
    ExitCode remove();
    ExitCode explain();

    /// Plans against the configuration in force and sends the change. With `mayReplan`, a change that lost a race
    /// is planned anew: its outcome does not depend on what the other edit said.
    ExitCode change(Planner const&, bool mayReplan);
    ExitCode finish(ChangePlan const&, State::RecordId, ChangeReply const&);
    ExitCode waitInForce(std::uint64_t revision, std::string& laggards);
    void printPlan(ChangePlan const&);
    void warnOfUnknownTarget();
    ExitCode report(Core::Error const&);

    Client& m_client;
    CommandLine const& m_line;
    std::function<std::uint64_t()> m_randomNumber;
    std::ostream& m_out;
    std::ostream& m_err;
};

}
