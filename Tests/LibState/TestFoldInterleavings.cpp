#include "Records.h"
#include <LibState/SnapshotAssembler.h>
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace State {

namespace {

/// The rules once more, naively: nothing is ever forgotten.
class Oracle {
public:
    /// Returns whether the record takes effect at this offset.
    bool apply(std::uint64_t offset, ConfigRecord const& record)
    {
        if (!m_ids.insert(record.id).second || offset - record.id.readNext > Fold::window)
            return false;
        for (Edit const& edit : record.edits) {
            bool exists = m_revisions.contains(edit.key) && !m_deleted.contains(edit.key);
            bool isFree = !exists && (!m_revisions.contains(edit.key) || m_revisions[edit.key] < record.id.readNext);
            if (edit.baseRevision ? !exists || m_revisions[edit.key] != *edit.baseRevision : !isFree)
                return false;
        }
        for (Edit const& edit : record.edits) {
            m_revisions[edit.key] = offset;
            if (edit.fields)
                m_deleted.erase(edit.key);
            else
                m_deleted.insert(edit.key);
        }
        return true;
    }

    /// The objects that exist, with their revisions.
    std::map<ObjectKey, std::uint64_t> objects() const
    {
        std::map<ObjectKey, std::uint64_t> existing;
        for (std::pair<ObjectKey const, std::uint64_t> const& it : m_revisions) {
            if (!m_deleted.contains(it.first))
                existing.insert(it);
        }
        return existing;
    }

private:
    std::set<RecordId> m_ids;
    std::map<ObjectKey, std::uint64_t> m_revisions;
    std::set<ObjectKey> m_deleted;
};

/// A number below `n`, evenly, whatever the size of the case.
std::uint64_t pick(std::uint64_t n)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, n));
}

std::map<ObjectKey, std::uint64_t> revisionsOf(Fold const& fold)
{
    std::map<ObjectKey, std::uint64_t> revisions;
    for (std::pair<ObjectKey const, ObjectPointer> const& it : fold.state().objects)
        revisions[it.first] = it.second->revision;
    return revisions;
}

/// A log that forgets, and daemons that read it, write to it, restart and snapshot it.
struct World {
    static constexpr std::size_t readerCount = 4;

    std::vector<std::string> log;
    std::uint64_t first { 0 };
    std::vector<Fold> readers { readerCount };
    std::vector<std::map<ObjectKey, std::uint64_t>> highest { readerCount };
    Fold reference;
    std::vector<std::string> digests { Fold().snapshot().digest() };
    Oracle oracle;
    std::vector<std::string> sent;
    std::uint64_t nonce { 0 };

    void append(std::string const& bytes)
    {
        log.push_back(bytes);
        ApplyResult result = applyNext(reference, bytes);
        bool takesEffect = result.record && oracle.apply(reference.nextOffset() - 1, *result.record);
        RC_ASSERT((result.applied == Applied::Accepted) == takesEffect);
        RC_ASSERT(revisionsOf(reference) == oracle.objects());
        digests.push_back(reference.snapshot().digest());
    }

    void passWindow()
    {
        std::uint64_t n = Fold::window + pick(8) - 4;
        while (n-- > 0) {
            log.emplace_back("?");
            applyNext(reference, "?");
            digests.emplace_back();
        }
        digests.back() = reference.snapshot().digest();
    }

    /// An operator edits by what some daemon shows; the append may happen later, twice, or both.
    void edit()
    {
        Fold const& view = readers[pickReader()];
        std::vector<Edit> edits;
        std::uint64_t chosen = 1 + pick(7);
        for (std::uint64_t n = 0; n < 3; ++n) {
            if ((chosen >> n & 1) == 0)
                continue;
            std::string name(1, static_cast<char>('a' + n));
            ObjectPointer object = view.find(targetKey(name));
            if (object && pick(3) == 0)
                edits.push_back(deleteTarget(name, object->revision));
            else
                edits.push_back(setTarget(name, object ? std::optional(object->revision) : std::nullopt, "n=" + std::to_string(nonce)));
        }
        sent.push_back(bytesOf({ view.nextOffset(), ++nonce }, edits));
        if (pick(2) == 0)
            append(sent.back());
    }

    void resend()
    {
        if (!sent.empty())
            append(sent[pick(sent.size())]);
    }

    /// A daemon, however stale, appends a snapshot; it may stop half-way.
    void writeSnapshot()
    {
        std::vector<SnapshotPart> parts = readers[pickReader()].snapshot().split(200);
        std::size_t n = pick(4) == 0 ? parts.size() / 2 : parts.size();
        for (std::size_t k = 0; k < n; ++k) {
            append(encode(LogRecord(parts[k])).value());
            if (pick(5) == 0)
                resend();
        }
    }

    void trim() { first += pick(log.size() + 1 - first); }

    void read()
    {
        std::size_t reader = pickReader();
        std::uint64_t n = std::array<std::uint64_t, 4> { 1, 3, 10, 100'000 }[pick(4)];
        readOn(reader, n);
    }

    /// A new process knows nothing of what the old one showed.
    void restart(std::size_t reader)
    {
        readers[reader] = Fold();
        highest[reader].clear();
    }

    void restartAll()
    {
        for (std::size_t reader = 0; reader < readerCount; ++reader)
            restart(reader);
    }

    void readOn(std::size_t reader, std::uint64_t n)
    {
        Fold& fold = readers[reader];
        if (fold.nextOffset() < first)
            recover(reader);
        while (n-- > 0 && fold.nextOffset() >= first && fold.nextOffset() < log.size())
            RC_ASSERT(fold.apply(fold.nextOffset(), log[fold.nextOffset()]));
        check(reader);
    }

    /// Over a gap: the newest snapshot that the log still holds, else a peer's, else wait.
    void recover(std::size_t reader)
    {
        std::uint64_t before = readers[reader].nextOffset();
        RC_ASSERT(before >= log.size() || readers[reader].apply(std::max(first, before + 1), "?").has_error());
        RC_ASSERT(readers[reader].nextOffset() == before);
        SnapshotAssembler assembler;
        for (std::uint64_t offset = first; offset < log.size(); ++offset) {
            Core::Result<LogRecord> record = decodeLogRecord(log[offset]);
            if (SnapshotPart const* part = record ? std::get_if<SnapshotPart>(&record.value()) : nullptr)
                RC_ASSERT(assembler.add(*part));
        }
        if (assembler.newest())
            RC_ASSERT(readers[reader].adopt(*assembler.newest()));
        if (readers[reader].nextOffset() < first)
            RC_ASSERT(readers[reader].adopt(readers[pickReader()].snapshot()));
    }

    /// All readers of one prefix agree, and no object that a daemon showed goes back.
    void check(std::size_t reader)
    {
        Fold const& fold = readers[reader];
        std::string const& expected = digests[fold.nextOffset()];
        RC_ASSERT(expected.empty() || fold.snapshot().digest() == expected);
        for (std::pair<ObjectKey const, std::uint64_t> const& it : revisionsOf(fold)) {
            RC_ASSERT(it.second >= highest[reader][it.first]);
            highest[reader][it.first] = it.second;
        }
    }

    std::size_t pickReader() const { return pick(readerCount); }

    void step()
    {
        std::uint64_t action = pick(40);
        if (action < 12)
            edit();
        else if (action < 17)
            resend();
        else if (action < 29)
            read();
        else if (action < 33)
            writeSnapshot();
        else if (action < 35)
            trim();
        else if (action < 37)
            restart(pickReader());
        else if (action < 38)
            restartAll();
        else
            passWindow();
    }
};

}

RC_GTEST_PROP(FoldInterleavings, AllReadersOfAPrefixAgreeAndNothingGoesBack, ())
{
    World world;
    int steps = *rc::gen::inRange(1, 120);
    while (steps-- > 0)
        world.step();
    for (std::size_t reader = 0; reader < World::readerCount; ++reader)
        world.readOn(reader, 1'000'000);
    for (Fold const& reader : world.readers) {
        if (reader.nextOffset() == world.log.size())
            RC_ASSERT(reader.snapshot() == world.reference.snapshot());
    }
}

}
