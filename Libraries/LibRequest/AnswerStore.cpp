#include <LibRequest/AnswerStore.h>
#include <algorithm>
#include <utility>

namespace Request {

namespace {

/// Table overhead of one answer in bytes, rounded up.
constexpr std::uint64_t fixedBytes = 384;

}

struct AnswerStore::Answer {
    TicketNonce ticket {};
    Holder* holder { nullptr };
    std::string bytes;
    std::vector<std::uint32_t> ends; ///< Of each piece, in `bytes`.
    std::uint64_t accounted { 0 };
    std::optional<AnswerEnd> end;
    std::list<Answer*>::iterator place; ///< In the holder's `running` or `ended`.
    std::optional<std::multimap<TimePoint, TicketNonce>::iterator> expiry;
};

/// The answers of one organisation.
struct AnswerStore::Holder {
    std::string organisation;
    std::uint64_t bytes { 0 };
    std::list<Answer*> running; ///< Oldest first.
    std::list<Answer*> ended; ///< Oldest end first.
};

AnswerStore::AnswerStore(Limits limits)
    : m_limits(limits)
{
}

AnswerStore::~AnswerStore() = default;
AnswerStore::AnswerStore(AnswerStore&&) noexcept = default;
AnswerStore& AnswerStore::operator=(AnswerStore&&) noexcept = default;

Core::Result<AnswerStore> AnswerStore::create(Limits limits)
{
    if (limits.maxBytes == 0 || limits.maxAnswerBytes == 0 || limits.maxAnswers == 0 || limits.keepFor.count() <= 0)
        return Core::fail(Core::ErrorCode::BadInput, "The limits of stored answers must be greater than 0.");
    if (limits.maxAnswerBytes > UINT32_MAX)
        return Core::fail(Core::ErrorCode::BadInput, "A stored answer must be smaller than 4 GiB.");
    return AnswerStore(limits);
}

std::vector<DroppedAnswer> AnswerStore::open(TicketNonce const& ticket, std::string_view organisation)
{
    Holder& owner = holder(organisation);
    std::unique_ptr<Answer> answer = std::make_unique<Answer>();
    answer->ticket = ticket;
    answer->holder = &owner;
    answer->place = owner.running.insert(owner.running.end(), answer.get());
    Answer& opened = *answer;
    m_answers.emplace(ticket, std::move(answer));
    account(opened, fixedBytes);
    return enforceLimits();
}

std::vector<DroppedAnswer> AnswerStore::append(TicketNonce const& ticket, std::uint64_t position, std::string_view bytes)
{
    auto it = m_answers.find(ticket);
    if (it == m_answers.end())
        return {};
    Answer& answer = *it->second;
    if (answer.end || position != answer.ends.size())
        return {};
    if (answer.bytes.size() + bytes.size() > m_limits.maxAnswerBytes)
        return { drop(answer) };
    answer.bytes += bytes;
    answer.ends.push_back(static_cast<std::uint32_t>(answer.bytes.size()));
    account(answer, fixedBytes + answer.bytes.capacity() + answer.ends.capacity() * sizeof(std::uint32_t));
    return enforceLimits();
}

void AnswerStore::finish(TicketNonce const& ticket, AnswerEnd end, TimePoint now)
{
    auto it = m_answers.find(ticket);
    if (it == m_answers.end() || it->second->end)
        return;
    Answer& answer = *it->second;
    answer.end = std::move(end);
    answer.holder->ended.splice(answer.holder->ended.end(), answer.holder->running, answer.place);
    answer.expiry = m_expiries.emplace(now + m_limits.keepFor, ticket);
}

Core::Result<AnswerPart> AnswerStore::read(TicketNonce const& ticket, AnswerOffset offset, std::uint64_t maxBytes) const
{
    auto it = m_answers.find(ticket);
    if (it == m_answers.end()) {
        return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::NotFound,
            "The answer is no longer kept."));
    }
    Answer const& answer = *it->second;
    std::uint64_t limit = offset.unit == AnswerOffset::Unit::Pieces ? answer.ends.size() : answer.bytes.size();
    if (offset.value > limit) {
        return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::BadInput,
            "The offset is beyond what there is of the answer: " + std::to_string(limit) + "."));
    }
    std::uint64_t begin = offset.value;
    if (offset.unit == AnswerOffset::Unit::Pieces)
        begin = offset.value == 0 ? 0 : answer.ends[offset.value - 1];
    // The last piece end within the bound, or the first one after `begin`.
    auto first = std::upper_bound(answer.ends.begin(), answer.ends.end(), begin);
    auto last = std::upper_bound(first, answer.ends.end(), begin + maxBytes);
    if (last == first && last != answer.ends.end())
        ++last;
    AnswerPart part;
    part.nextByte = last == answer.ends.begin() ? 0 : *(last - 1);
    part.nextPiece = static_cast<std::uint64_t>(last - answer.ends.begin());
    part.bytes = answer.bytes.substr(begin, part.nextByte - begin);
    if (part.nextPiece == answer.ends.size())
        part.end = answer.end;
    return part;
}

void AnswerStore::remove(TicketNonce const& ticket)
{
    auto it = m_answers.find(ticket);
    if (it != m_answers.end())
        erase(it);
}

std::vector<DroppedAnswer> AnswerStore::expire(TimePoint now)
{
    std::vector<DroppedAnswer> dropped;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        dropped.push_back(drop(*m_answers.find(m_expiries.begin()->second)->second));
    return dropped;
}

bool AnswerStore::contains(TicketNonce const& ticket) const
{
    return m_answers.contains(ticket);
}

std::uint64_t AnswerStore::bytesOf(std::string_view organisation) const
{
    auto it = m_holders.find(organisation);
    return it == m_holders.end() ? 0 : it->second->bytes;
}

AnswerStore::Holder& AnswerStore::holder(std::string_view organisation)
{
    auto it = m_holders.find(organisation);
    if (it != m_holders.end())
        return *it->second;
    std::unique_ptr<Holder> created = std::make_unique<Holder>();
    created->organisation = organisation;
    Holder& result = *created;
    m_byBytes.emplace(0, &result);
    m_holders.emplace(std::string(organisation), std::move(created));
    return result;
}

/// Sets the number of bytes charged for an answer and updates the order of the holders.
void AnswerStore::account(Answer& answer, std::uint64_t bytes)
{
    if (bytes == answer.accounted)
        return;
    Holder& owner = *answer.holder;
    m_byBytes.erase({ owner.bytes, &owner });
    owner.bytes += bytes - answer.accounted;
    m_bytes += bytes - answer.accounted;
    answer.accounted = bytes;
    m_byBytes.emplace(owner.bytes, &owner);
}

void AnswerStore::erase(Answers::iterator it)
{
    Answer& answer = *it->second;
    Holder& owner = *answer.holder;
    account(answer, 0);
    std::list<Answer*>& list = answer.end ? owner.ended : owner.running;
    list.erase(answer.place);
    if (answer.expiry)
        m_expiries.erase(*answer.expiry);
    m_answers.erase(it);
    if (!owner.running.empty() || !owner.ended.empty())
        return;
    m_byBytes.erase({ owner.bytes, &owner });
    m_holders.erase(m_holders.find(owner.organisation));
}

DroppedAnswer AnswerStore::drop(Answer& answer)
{
    DroppedAnswer dropped { answer.ticket, answer.holder->organisation, answer.bytes.size(), !answer.end };
    erase(m_answers.find(answer.ticket));
    return dropped;
}

std::vector<DroppedAnswer> AnswerStore::enforceLimits()
{
    std::vector<DroppedAnswer> dropped;
    while (m_bytes > m_limits.maxBytes || m_answers.size() > m_limits.maxAnswers) {
        Holder& largest = *m_byBytes.rbegin()->second;
        Answer& oldest = largest.ended.empty() ? *largest.running.front() : *largest.ended.front();
        dropped.push_back(drop(oldest));
    }
    return dropped;
}

}
