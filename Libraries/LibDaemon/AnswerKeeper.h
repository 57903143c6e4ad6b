#pragma once

#include <LibHttp/Message.h>
#include <LibRequest/Home.h>
#include <LibRequest/TicketIssuer.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace Daemon {

/// A part of a kept answer, with the head of the target's answer once it is known.
struct KeptPart {
    std::optional<Http::ResponseHead> head;
    Request::AnswerPart part;
};

/// This daemon as the home of its tickets: `Request::Home` shared between traffic threads, with the answers'
/// heads and with wake-ups for those who follow an answer. Thread-safe.
class AnswerKeeper {
public:
    /// Errors: as `Request::Home::create` and `Request::TicketIssuer::create`.
    static Core::Result<std::unique_ptr<AnswerKeeper>> create(Request::TicketIssuer, Request::AnswerStore::Limits, Request::OnceTable::Settings);

    Request::TicketIssuer const& issuer() const { return m_issuer; }

    /// As `Request::Home::begin`.
    Core::Result<Request::OnceDecision> begin(Request::Ticket const&, Request::Fingerprint const&, std::string const& organisation);

    void head(Request::TicketNonce const&, Http::ResponseHead);
    void append(Request::TicketNonce const&, std::uint64_t position, std::string_view bytes);
    void finish(Request::TicketNonce const&, Request::AnswerEnd);

    /// Reads what there is from `offset` on. When there is nothing yet, `wake` is called once there may be, on
    /// whatever thread. Errors: as `Request::Home::read`.
    Core::Result<KeptPart> read(Request::TicketNonce const&, Request::AnswerOffset, std::function<void()> wake);

    /// Drops answers whose time is over; call about once a second.
    void expire();

    std::uint64_t keptBytes() const;
    std::size_t keptAnswers() const;
    std::size_t rememberedTickets() const;

private:
    using Wakes = std::vector<std::function<void()>>;
    struct Side {
        std::optional<Http::ResponseHead> head;
        Wakes wakes;
    };

    AnswerKeeper(Request::TicketIssuer issuer, Request::Home home)
        : m_issuer(std::move(issuer))
        , m_home(std::move(home))
    {
    }

    void forget(std::vector<Request::DroppedAnswer> const&, Wakes&);
    Wakes takeWakes(Request::TicketNonce const&);
    static void wakeAll(Wakes&);

    Request::TicketIssuer m_issuer;
    mutable std::mutex m_mutex;
    Request::Home m_home;
    boost::unordered_flat_map<Request::TicketNonce, Side, Request::TicketNonceHash> m_sides;
};

}
