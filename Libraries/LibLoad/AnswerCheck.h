#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Load {

/// How a request ended, as its caller sees it.
enum class Ending : std::uint8_t {
    Whole, ///< The whole answer to its own prompt.
    Wrong, ///< Text that is not the answer to its own prompt, or events out of order.
    Cut, ///< The answer ended early without saying so.
    NotRun, ///< An error that says that it did not run.
    MayHaveRun, ///< An error that says that it may have run.
    Ran, ///< An error that says that it ran.
    NoAnswer, ///< No answer: the connection could not be made, or broke before the head.
};

inline constexpr Core::EnumNames<Ending, 7> endingNames { {
    { Ending::Whole, "whole" },
    { Ending::Wrong, "wrong" },
    { Ending::Cut, "cut" },
    { Ending::NotRun, "not-run" },
    { Ending::MayHaveRun, "may-have-run" },
    { Ending::Ran, "ran" },
    { Ending::NoAnswer, "no-answer" },
} };

/// Returns the ending that an error with this verdict is, by its printed name; NoAnswer for any other. Thread-safe.
Ending endingOf(std::string_view verdict);

/// Checks a stream of completion events against the answer that stand-in engines give to the prompt.
/// Not thread-safe.
class AnswerCheck {
public:
    AnswerCheck(std::string_view prompt, std::uint64_t tokens);

    /// Takes a piece of the body and returns how many tokens it completed.
    std::uint64_t add(std::string_view piece);

    /// Tells how the answer ended, once the body has.
    Ending ending() const;

private:
    std::uint64_t takeEvent(std::string_view event);
    std::uint64_t takeData(std::string_view data);

    std::uint64_t m_seed;
    std::uint64_t m_expectedTokens;
    std::uint64_t m_tokens { 0 };
    std::uint64_t m_nextId { 0 };
    std::string m_rest;
    bool m_isDone { false };
    bool m_isWrong { false };
    std::optional<Ending> m_error;
};

/// Checks the body of an answer that is not streamed. Thread-safe.
Ending checkWhole(std::string_view body, std::string_view prompt, std::uint64_t tokens);

}
