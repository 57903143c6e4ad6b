#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace Label {

/// Reads the tokens that label lists and selectors share: keys, values, words and signs. Each error names
/// the position (in bytes, from 1), what was read there and what is allowed.
/// Precondition: the text outlives the scanner. Not thread-safe.
class Scanner {
public:
    explicit Scanner(std::string_view text)
        : m_text(text)
    {
    }

    /// Skips spaces and tabs.
    void skipSpaces();

    /// Returns whether all of the text is read, but for spaces.
    bool isAtEnd();

    /// Consumes `sign` and returns true when it comes next, after spaces.
    bool consume(std::string_view sign);

    /// Consumes the whole word `word` and returns true when it comes next, after spaces.
    bool consumeWord(std::string_view word);

    /// Reads a label key: an optional prefix (a DNS subdomain of at most 253 characters) with '/', and a name.
    Core::Result<std::string_view> readKey();

    /// Reads a label value, which may be empty.
    Core::Result<std::string_view> readValue();

    /// Returns the error for what comes next, after spaces, where `allowed` was expected.
    Core::Error unexpected(std::string_view allowed);

private:
    std::string_view readWord();
    Core::Error errorAt(std::size_t position, std::string_view read, std::string_view allowed) const;

    std::string_view m_text;
    std::size_t m_position { 0 };
};

}
