#pragma once

#include <LibHttp/Message.h>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Http {

/// Returns whether no line of a message's head is longer than the value of a field may be. Thread-safe.
bool hasShortLines(std::string_view head);

/// Returns what makes a well-formed request unacceptable (RFC 9112, sections 3.2 and 6.1); empty: nothing does. Thread-safe.
std::string_view problemOf(Request const&, bool needsHost);

/// Returns what makes a well-formed response unacceptable (RFC 9110, section 15; RFC 9112, section 6.1); empty: nothing does.
/// `version` is that of its first line, 11 for HTTP/1.1. Thread-safe.
std::string_view problemOf(ResponseHead const&, unsigned version);

/// Finds the end of a message's head in bytes that arrive piece by piece, and judges its lines: each ends with CRLF (RFC 9112, section
/// 2.2), and none but the first begins with white space (obsolete folding, section 5.2). The parser takes others as the RFC allows it
/// to, but what stands before or behind us may see another message in them. Not thread-safe.
class HeadScanner {
public:
    enum class Progress : std::uint8_t {
        Partial,
        Whole,
        Malformed,
    };

    /// Looks at all bytes that have arrived. Precondition: they begin with those of the former call.
    Progress scan(std::string_view bytes);

    /// Returns the head, up to the end of its last line. Precondition: `scan` of these bytes returned Whole.
    std::string_view head(std::string_view bytes) const { return bytes.substr(0, m_checked); }

private:
    std::size_t m_checked { 0 }; ///< Bytes that need not be looked at again.
};

}
