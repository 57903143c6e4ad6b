#include "TicketFormat.h"
#include <LibRequest/Ticket.h>
#include <algorithm>
#include <cstring>

namespace Request {

std::size_t TicketNonceHash::operator()(TicketNonce const& nonce) const
{
    std::uint64_t bits = 0;
    std::memcpy(&bits, nonce.data(), sizeof(bits));
    return bits;
}

std::string formatIncarnation(std::uint64_t incarnation)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[text.size() - 1 - i] = digits[(incarnation >> (4 * i)) & 0xF];
    return text;
}

Core::Result<Ticket> Ticket::parse(std::string_view text)
{
    BOOST_OUTCOME_TRY(std::vector<std::uint8_t> bytes, decodeBase64Url(text));
    if (bytes.size() < TicketFormat::minimumSize || bytes.size() > TicketFormat::maximumSize)
        return Core::fail(Core::ErrorCode::BadInput, "The ticket has an invalid length.");
    if (bytes[0] != TicketFormat::version)
        return Core::fail(Core::ErrorCode::BadInput, "The ticket version is not supported.");
    std::size_t nameSize = bytes[TicketFormat::nameSizeAt];
    if (nameSize == 0 || bytes.size() != TicketFormat::minimumSize + nameSize)
        return Core::fail(Core::ErrorCode::BadInput, "The ticket has an invalid length.");
    Ticket ticket;
    ticket.incarnation = TicketFormat::readNumber(bytes, TicketFormat::incarnationAt);
    std::int64_t issued = static_cast<std::int64_t>(TicketFormat::readNumber(bytes, TicketFormat::issuedAt));
    ticket.issuedAt = TimePoint(std::chrono::duration_cast<TimePoint::duration>(std::chrono::nanoseconds(issued)));
    std::copy_n(bytes.begin() + TicketFormat::nonceAt, ticket.nonce.size(), ticket.nonce.begin());
    ticket.home.assign(bytes.begin() + TicketFormat::nameAt, bytes.begin() + TicketFormat::nameAt + static_cast<std::ptrdiff_t>(nameSize));
    return ticket;
}

}
