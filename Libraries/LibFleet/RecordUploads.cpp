#include <LibFleet/RecordUploads.h>
#include <algorithm>

namespace Fleet {

std::chrono::duration<double> RecordUploads::transmissionTime(std::size_t bytes) const
{
    if (m_settings.bytesPerSecond == 0)
        return {};
    return std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(m_settings.bytesPerSecond));
}

std::variant<RecordUploads::Id, Deferral> RecordUploads::begin(Platform::StoreTopic topic, std::uint64_t next, std::string const& peer, std::size_t bytes, Time now)
{
    // Longer uploads do not delay this one.
    std::size_t ahead = 0;
    for (std::pair<Id const, Upload> const& it : m_uploads)
        ahead += it.second.remaining <= bytes ? it.second.remaining : 0;
    std::chrono::duration<double> queueTime = transmissionTime(ahead) + std::max(m_freeAt - now, Time::duration(0));
    if (ahead > 0 && queueTime > m_settings.maxQueueTime)
        return defer(topic, next, peer, queueTime);
    m_uploads.emplace(++m_lastId, Upload { topic, next, peer, bytes, now });
    return m_lastId;
}

Deferral RecordUploads::defer(Platform::StoreTopic topic, std::uint64_t next, std::string const& peer, std::chrono::duration<double> queueTime)
{
    Deferral deferral;
    deferral.retryAfter = std::max(m_settings.minRetryDelay, std::chrono::ceil<std::chrono::milliseconds>(queueTime));
    std::deque<Recipient> const& recipients = m_recipients[topic];
    ++m_rotation;
    for (std::size_t n = 0; n < recipients.size() && deferral.referrals.size() < m_settings.maxReferrals; ++n) {
        Recipient const& it = recipients[(m_rotation + n) % recipients.size()];
        if (it.next >= next && it.peer != peer)
            deferral.referrals.push_back(it.peer);
    }
    return deferral;
}

// The shortest, unless another one has waited for so long that its peer may give up.
std::map<RecordUploads::Id, RecordUploads::Upload>::iterator RecordUploads::chooseNext(Time now)
{
    using Iterator = std::map<Id, Upload>::iterator;
    Iterator best = m_uploads.begin();
    for (Iterator it = m_uploads.begin(); it != m_uploads.end(); ++it) {
        if (now - it->second.waitingSince > m_settings.maxQueueTime)
            return it;
        if (it->second.remaining < best->second.remaining)
            best = it;
    }
    return best;
}

std::optional<RecordUploads::Chunk> RecordUploads::takeChunk(Time now)
{
    if (m_uploads.empty() || now < m_freeAt)
        return std::nullopt;
    std::map<Id, Upload>::iterator it = chooseNext(now);
    std::size_t bytes = std::min(it->second.remaining, m_settings.chunkBytes);
    it->second.remaining -= bytes;
    it->second.waitingSince = now;
    m_freeAt = now + std::chrono::duration_cast<Time::duration>(transmissionTime(bytes));
    Chunk chunk { it->first, bytes, it->second.remaining == 0 };
    if (chunk.isLast) {
        noteRecipient(it->second);
        m_uploads.erase(it);
    }
    return chunk;
}

void RecordUploads::noteRecipient(Upload const& upload)
{
    std::deque<Recipient>& recipients = m_recipients[upload.topic];
    std::erase_if(recipients, [&upload](Recipient const& it) { return it.peer == upload.peer; });
    recipients.push_back({ upload.peer, upload.next });
    if (recipients.size() > m_settings.rememberedRecipients)
        recipients.pop_front();
}

std::optional<Time> RecordUploads::nextChunkAt() const
{
    return m_uploads.empty() ? std::nullopt : std::optional(m_freeAt);
}

void RecordUploads::cancel(Id id)
{
    m_uploads.erase(id);
}

std::size_t RecordUploads::pendingBytes() const
{
    std::size_t bytes = 0;
    for (std::pair<Id const, Upload> const& it : m_uploads)
        bytes += it.second.remaining;
    return bytes;
}

}
