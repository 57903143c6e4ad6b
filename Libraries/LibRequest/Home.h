#pragma once

#include <LibRequest/AnswerStore.h>
#include <LibRequest/OnceTable.h>
#include <string_view>

namespace Request {

/// The state of a daemon as the home of tickets: which tickets were used, and the answers. The two have separate limits,
/// so dropping an answer never lets its request run again. Not thread-safe: guard it with one mutex.
class Home {
public:
    /// Errors: as `AnswerStore::create` and `OnceTable::create`.
    static Core::Result<Home> create(AnswerStore::Limits, OnceTable::Settings);

    struct Begun {
        OnceDecision decision { OnceDecision::Run };
        std::vector<DroppedAnswer> dropped; ///< Evicted to make room; log them.
    };

    /// Decides on a send (see `OnceTable::begin`) and opens its answer when it is to run.
    Core::Result<Begun> begin(Ticket const&, Fingerprint const&, std::string_view organisation, TimePoint now);

    /// Stores a piece that the machine delivered. Returns the answers evicted for it.
    std::vector<DroppedAnswer> append(TicketNonce const&, std::uint64_t position, std::string_view bytes);

    /// Stores the outcome from the machine's `Finish`.
    void finish(TicketNonce const&, AnswerEnd, TimePoint now);

    /// Reads a kept answer. Errors: NotFound with the request's own verdict when the answer is no longer kept, as
    /// `AnswerStore::read` else. Precondition: the reader presented the ticket and it passed `verify`.
    Core::Result<AnswerPart> read(TicketNonce const&, AnswerOffset, std::uint64_t maxBytes) const;

    /// Removes the stored answer because the caller has received all of it.
    void collected(TicketNonce const&);

    /// Removes expired tickets and answers; returns those answers. Call about once a second.
    std::vector<DroppedAnswer> expire(TimePoint now);

    std::uint64_t keptBytes() const { return m_answers.bytes(); }
    std::size_t keptAnswers() const { return m_answers.size(); }
    std::size_t rememberedTickets() const { return m_once.size(); }

private:
    Home(AnswerStore, OnceTable);

    AnswerStore m_answers;
    OnceTable m_once;
};

}
