#include <LibCore/UncaughtException.h>
#include <LibDaemon/LeaseFollower.h>
#include <boost/asio/co_spawn.hpp>
#include <tuple>

namespace Daemon {

LeaseFollower::LeaseFollower(boost::asio::io_context& context, Platform::LogService& log, std::chrono::milliseconds retryDelay, std::function<void(std::vector<std::string> const& pools)> onChange)
    : m_context(context)
    , m_log(log)
    , m_onChange(std::move(onChange))
    , m_tail(context, log, leaseStream, retryDelay, tailHooks())
{
}

void LeaseFollower::stop()
{
    m_tail.stop();
}

LogTail::Hooks LeaseFollower::tailHooks()
{
    LogTail::Hooks hooks;
    hooks.nextOffset = [this] { return m_fold.nextOffset(); };
    hooks.apply = [this](Platform::LogEntry const& entry) -> Core::Result<void> {
        BOOST_OUTCOME_TRY(Authority::LeaseApplyResult result, m_fold.apply(entry.offset, entry.data));
        m_changedPools.insert(m_changedPools.end(), result.pools.begin(), result.pools.end());
        return Core::ok();
    };
    hooks.adopt = [this](State::Snapshot const& snapshot) -> Core::Result<bool> {
        BOOST_OUTCOME_TRY(bool isAdopted, m_fold.adopt(snapshot));
        for (std::pair<std::string const, Authority::Lease> const& it : m_fold.state().leases)
            m_changedPools.push_back(it.first);
        return isAdopted;
    };
    hooks.onBatch = [this](bool) { m_onChange(std::exchange(m_changedPools, {})); };
    return hooks;
}

void LeaseFollower::append(Authority::LeaseRecord const& record)
{
    boost::asio::co_spawn(
        m_context, [this, bytes = Authority::encode(record)] { return send(bytes); }, Core::logUncaughtException);
}

boost::asio::awaitable<void> LeaseFollower::send(std::string bytes)
{
    std::ignore = co_await m_log.append(leaseStream, std::move(bytes));
}

}
