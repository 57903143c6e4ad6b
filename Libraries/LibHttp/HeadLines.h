#pragma once

#include <LibHttp/Message.h>
#include <cstddef>
#include <string_view>

namespace Http {

/// Returns whether each line feed of a message's head, from position `from` on, ends a line as RFC 9112, section 2.2, has
/// it (CRLF), and no line but the first begins with white space (obsolete folding, section 5.2). Thread-safe.
bool hasStrictLines(std::string_view head, std::size_t from);

/// Returns whether no line of a message's head is longer than the value of a field may be. Thread-safe.
bool hasShortLines(std::string_view head);

/// Returns what makes a well-formed request unacceptable (RFC 9112, sections 3.2 and 6.1); empty: nothing does. Thread-safe.
std::string_view problemOf(Request const&, bool needsHost);

}
