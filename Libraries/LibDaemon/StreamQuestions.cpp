// The part of StreamExchange that finds the origin of a stream for a request that resumes it.

#include <LibDaemon/StreamExchange.h>
#include <LibDaemon/StreamMessages.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace Daemon {

using Clock = Core::BootClock;

void StreamExchange::find(OriginQuestion const& question, std::function<void(OriginAnswer const&)> onAnswer)
{
    m_questions.push_back({ question, std::move(onAnswer) });
    if (std::exchange(m_isAnswering, true))
        return;
    spawn(answerQuestions());
}

// A read answers the questions that came before it began.
boost::asio::awaitable<void> StreamExchange::answerQuestions()
{
    while (!m_questions.empty() && !m_isStopped) {
        boost::asio::steady_timer timer(m_context, readInterval);
        co_await answer(std::exchange(m_questions, {}));
        boost::system::error_code ec;
        if (!m_questions.empty())
            co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    m_isAnswering = false;
}

boost::asio::awaitable<void> StreamExchange::answer(std::vector<Pending> pending)
{
    std::vector<Pending> open;
    for (Pending& it : pending) {
        std::optional<Streams::OriginWindow::Entry> recorded = it.question.stream ? m_window.find(*it.question.stream) : std::nullopt;
        if (recorded)
            it.onAnswer({ false, recorded->origin, OriginSource::Memory });
        else
            open.push_back(std::move(it));
    }
    if (open.empty())
        co_return;
    bool isRead = co_await loadReleases(Fleet::StoreCallReason::Streams);
    // A release is recorded before streams begin at it, so that a record that names one alone is right for all streams that have begun.
    std::erase_if(open, [&](Pending const& it) {
        std::map<std::string, Streams::ReleaseRecord>::const_iterator record = m_storedReleases.find(it.question.service);
        std::optional<std::string> only = isRead && !it.question.needsRecord && record != m_storedReleases.end() ? Streams::ReleaseBook::onlyRelease(record->second) : std::nullopt;
        if (only)
            it.onAnswer({ true, Streams::StreamOrigin { it.question.service, *only }, OriginSource::OnlyRelease });
        return only.has_value();
    });
    if (open.empty())
        co_return;
    Streams::OriginWindow found(longestLifetime, windowCapacity);
    if (isRead) {
        Core::Result<std::vector<Platform::KeyedRecord>> records = co_await readNewest(Platform::StoreTopic::Streams, Fleet::StoreCallReason::Streams);
        isRead = records.has_value();
        std::set<Streams::StreamKey> asked;
        for (Pending const& it : open) {
            if (it.question.stream)
                asked.insert(*it.question.stream);
        }
        for (Platform::KeyedRecord const& record : isRead ? records.value() : std::vector<Platform::KeyedRecord>()) {
            Core::Result<std::vector<Streams::BegunStream>> streams = decodeBegunStreams(record.value.value_or(""));
            for (Streams::BegunStream const& stream : streams.has_value() ? streams.value() : std::vector<Streams::BegunStream>()) {
                if (asked.contains(stream.key))
                    found.note(stream, Clock::now());
            }
        }
    }
    for (Pending const& it : open) {
        std::optional<Streams::OriginWindow::Entry> entry = it.question.stream ? found.find(*it.question.stream) : std::nullopt;
        it.onAnswer({ isRead, entry ? std::optional<Streams::StreamOrigin>(entry->origin) : std::nullopt, OriginSource::Record });
    }
}

}
