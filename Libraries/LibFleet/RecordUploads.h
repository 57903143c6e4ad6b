#pragma once

#include <LibFleet/Time.h>
#include <LibPlatform/KeyedStore.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fleet {

/// Limits on the records that a daemon sends to its peers.
struct RecordUploadSettings {
    std::uint64_t bytesPerSecond { 0 }; ///< For all peers together; 0 means unlimited.
    /// A peer whose records would wait longer than this for those of others is deferred instead.
    std::chrono::milliseconds maxQueueTime { 250 };
    std::chrono::milliseconds minRetryDelay { 50 }; ///< Of a deferred peer.
    std::size_t chunkBytes { std::size_t { 8 } << 10U }; ///< Sent at a time; other traffic passes between two chunks.
    std::size_t maxReferrals { 3 };
    std::size_t rememberedRecipients { 16 }; ///< Per topic.
};

/// Tells a peer to query another daemon, or to query again later.
struct Deferral {
    std::chrono::milliseconds retryAfter { 0 };
    std::vector<std::string> referrals; ///< Daemons that have recently received these records.
};

/// Schedules the records that a daemon sends to its peers, so that their number and the size of a topic do not determine how long
/// its link is busy: a bounded rate, short uploads first, and peers beyond that referred to daemons that already have the records.
/// Does no I/O and is not thread-safe.
class RecordUploads {
public:
    using Id = std::uint64_t;

    /// Part of an upload that may be sent now.
    struct Chunk {
        Id upload { 0 };
        std::size_t bytes { 0 };
        bool isLast { false };
    };

    explicit RecordUploads(RecordUploadSettings const& settings)
        : m_settings(settings)
    {
    }

    /// Schedules `bytes` for a peer, or defers the peer. `next` is the offset that the peer will know the topic up to.
    std::variant<Id, Deferral> begin(Platform::StoreTopic, std::uint64_t next, std::string const& peer, std::size_t bytes, Time now);

    /// Returns the chunk to send now, if one is due.
    std::optional<Chunk> takeChunk(Time now);

    /// Returns when the next chunk is due; empty if nothing is scheduled.
    std::optional<Time> nextChunkAt() const;

    /// Drops what is left of an upload; does nothing if it has ended.
    void cancel(Id);

    /// Returns how many bytes are scheduled and not sent.
    std::size_t pendingBytes() const;

private:
    struct Upload {
        Platform::StoreTopic topic { Platform::StoreTopic::Configuration };
        std::uint64_t next { 0 };
        std::string peer;
        std::size_t remaining { 0 }; ///< Bytes not sent.
        Time waitingSince {}; ///< When its last chunk was sent, or when it began.
    };
    struct Recipient {
        std::string peer;
        std::uint64_t next { 0 };
    };

    std::chrono::duration<double> transmissionTime(std::size_t bytes) const;
    std::map<Id, Upload>::iterator chooseNext(Time now);
    Deferral defer(Platform::StoreTopic, std::uint64_t next, std::string const& peer, std::chrono::duration<double> queueTime);
    void noteRecipient(Upload const&);

    RecordUploadSettings m_settings;
    std::map<Id, Upload> m_uploads; ///< In the order in which they began.
    Id m_lastId { 0 };
    Time m_freeAt {}; ///< When the chunks sent so far are within the rate.
    std::map<Platform::StoreTopic, std::deque<Recipient>> m_recipients; ///< Latest last.
    std::size_t m_rotation { 0 }; ///< Peers are referred to different recipients in turn.
};

}
