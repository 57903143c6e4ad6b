#include <LibLoad/Summary.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

namespace Load {

using std::chrono::nanoseconds;

namespace {

float toMs(nanoseconds time)
{
    return std::chrono::duration<float, std::milli>(time).count();
}

double rate(std::uint64_t n, nanoseconds time)
{
    double seconds = std::chrono::duration<double>(time).count();
    return seconds > 0 ? static_cast<double>(n) / seconds : 0;
}

std::string print(double value)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", value);
    return buf.data();
}

}

Summary::Summary(std::chrono::milliseconds deadline)
    : m_deadline(deadline)
{
}

void Summary::add(Sample const& sample)
{
    ++m_counts.at(static_cast<std::size_t>(sample.ending));
    m_tokens += sample.tokens;
    if (sample.ending != Ending::Whole)
        return;
    m_inTime += sample.total <= m_deadline ? 1 : 0;
    m_firstToken.push_back(toMs(sample.firstToken));
    m_total.push_back(toMs(sample.total));
    for (nanoseconds it : sample.gaps)
        m_gaps.push_back(toMs(it));
}

std::uint64_t Summary::sent() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t { 0 });
}

std::uint64_t Summary::count(Ending ending) const
{
    return m_counts.at(static_cast<std::size_t>(ending));
}

double Summary::percentile(std::vector<float> values, double share)
{
    if (values.empty())
        return 0;
    auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + rank);
    return values[static_cast<std::size_t>(rank)];
}

boost::json::object Summary::toJson(nanoseconds time) const
{
    boost::json::object endings;
    for (std::pair<Ending, std::string_view> const& it : endingNames)
        endings[it.second] = count(it.first);
    return { { "sent", sent() }, { "unsent", m_unsent }, { "endings", std::move(endings) }, { "in_time", m_inTime },
        { "goodput_per_s", rate(m_inTime, time) }, { "tokens_per_s", rate(m_tokens, time) },
        { "first_token_ms_p50", firstTokenMs(0.5) }, { "first_token_ms_p99", firstTokenMs(0.99) },
        { "gap_ms_p50", gapMs(0.5) }, { "gap_ms_p99", gapMs(0.99) }, { "total_ms_p50", totalMs(0.5) }, { "total_ms_p99", totalMs(0.99) } };
}

std::string Summary::toText(nanoseconds time) const
{
    std::string text = "  sent " + std::to_string(sent()) + ", not sent for too many open " + std::to_string(m_unsent) + "\n ";
    for (std::pair<Ending, std::string_view> const& it : endingNames)
        text += " " + std::string(it.second) + " " + std::to_string(count(it.first));
    text += "\n  whole and in time " + std::to_string(m_inTime) + ": goodput " + print(rate(m_inTime, time)) + "/s, tokens " + print(rate(m_tokens, time)) + "/s\n";
    text += "  first token p50 " + print(firstTokenMs(0.5)) + " ms, p99 " + print(firstTokenMs(0.99)) + " ms\n";
    text += "  between pieces p50 " + print(gapMs(0.5)) + " ms, p99 " + print(gapMs(0.99)) + " ms\n";
    return text + "  whole answer p50 " + print(totalMs(0.5)) + " ms, p99 " + print(totalMs(0.99)) + " ms\n";
}

}
