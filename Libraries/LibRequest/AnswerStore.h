#pragma once

#include <LibCore/Result.h>
#include <LibRequest/Ticket.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Request {

/// The outcome of a stored answer.
struct AnswerEnd {
    Core::Verdict verdict { Core::Verdict::NotRun };
    std::optional<Core::Error> error; ///< Empty if the answer is complete.

    bool operator==(AnswerEnd const&) const = default;
};

/// The position at which a reader resumes.
struct AnswerOffset {
    enum class Unit : std::uint8_t { Pieces,
        Bytes };
    Unit unit { Unit::Pieces };
    std::uint64_t value { 0 };
};

/// The result of a read: some bytes, and the outcome once everything before it has been read.
struct AnswerPart {
    std::string bytes;
    std::uint64_t nextPiece { 0 }; ///< Read from here next (unit: pieces).
    std::uint64_t nextByte { 0 }; ///< The same position in bytes.
    std::optional<AnswerEnd> end;
};

/// An answer that was evicted to stay within the limits, or that expired.
struct DroppedAnswer {
    TicketNonce ticket {};
    std::string organisation;
    std::uint64_t bytes { 0 };
    bool wasRunning { false };
};

/// Stores the answers of requests with tickets until they are collected or expire. Memory is bounded and shared fairly
/// between organisations: over a limit, the organisation that holds the most bytes loses its oldest ended answer, or
/// its oldest running one if none has ended. A dropped answer is never read in part. Not thread-safe.
class AnswerStore {
public:
    struct Limits {
        std::uint64_t maxBytes { 16U << 20U }; ///< Total for all answers, including their indexes.
        std::uint64_t maxAnswerBytes { 4U << 20U }; ///< Per answer.
        std::size_t maxAnswers { 20'000 };
        std::chrono::milliseconds keepFor { std::chrono::minutes(5) }; ///< Counted from the end of the answer.
    };

    /// Errors: BadInput when a limit is 0.
    static Core::Result<AnswerStore> create(Limits);

    /// Opens a running answer and returns what was dropped for it. Precondition: the ticket is not open.
    std::vector<DroppedAnswer> open(TicketNonce const&, std::string_view organisation);

    /// Appends piece `position`; one that is not the next changes nothing. Returns what was dropped, which may be
    /// this answer. An unknown ticket changes nothing.
    std::vector<DroppedAnswer> append(TicketNonce const&, std::uint64_t position, std::string_view bytes);

    /// Ends an answer; only the first end counts.
    void finish(TicketNonce const&, AnswerEnd, TimePoint now);

    /// Reads whole pieces, at most `maxBytes` (but one piece at least); a byte offset may start inside a piece.
    /// Errors: NotFound (not kept or dropped, may have run), BadInput (offset past the end).
    Core::Result<AnswerPart> read(TicketNonce const&, AnswerOffset, std::uint64_t maxBytes) const;

    /// Removes an answer that its caller has read completely.
    void remove(TicketNonce const&);

    /// Drops ended answers whose retention time has passed and returns them.
    std::vector<DroppedAnswer> expire(TimePoint now);

    bool contains(TicketNonce const&) const;
    std::uint64_t bytes() const { return m_bytes; }
    std::size_t size() const { return m_answers.size(); }
    std::uint64_t bytesOf(std::string_view organisation) const;

private:
    struct Answer;
    struct Holder;
    using Answers = boost::unordered_flat_map<TicketNonce, std::unique_ptr<Answer>, TicketNonceHash>;

    explicit AnswerStore(Limits);
    Holder& holder(std::string_view organisation);
    void account(Answer&, std::uint64_t bytes);
    void erase(Answers::iterator);
    DroppedAnswer drop(Answer&);
    std::vector<DroppedAnswer> enforceLimits();

    Limits m_limits;
    std::uint64_t m_bytes { 0 };
    Answers m_answers;
    std::map<std::string, std::unique_ptr<Holder>, std::less<>> m_holders; ///< Only those that hold answers.
    std::set<std::pair<std::uint64_t, Holder*>> m_byBytes;
    std::multimap<TimePoint, TicketNonce> m_expiries;

public:
    ~AnswerStore();
    AnswerStore(AnswerStore&&) noexcept;
    AnswerStore& operator=(AnswerStore&&) noexcept;
};

}
