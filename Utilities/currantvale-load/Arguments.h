#pragma once

#include <LibCore/Result.h>
#include <LibLoad/Runner.h>
#include <cstdint>
#include <optional>

/// The program's arguments, checked.
struct Arguments {
    Load::RunSettings run;
    std::optional<std::uint64_t> watchedProcess;
    bool isJson { false };
    bool wantsHelp { false };

    /// Errors: BadInput with one sentence.
    static Core::Result<Arguments> parse(int argc, char** argv);
    static std::string helpText();
};
