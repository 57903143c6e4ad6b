#pragma once

// The platform's store, as PROTOCOL.md tells it: keyed topics with one partition, appends, reads that wait, newest records.

#include "Http.h"
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Standin {

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int n = bytes - 1; n >= 0; --n)
        text += static_cast<char>(number >> (8 * n) & 0xffU);
    return text;
}

inline std::string base64(std::string const& bytes)
{
    static char const digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t word = 0;
        std::size_t count = std::min<std::size_t>(3, bytes.size() - n);
        for (std::size_t k = 0; k < 3; ++k)
            word = word << 8U | (k < count ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= count ? digits[word >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

inline std::string escapeJson(std::string const& text)
{
    std::string escaped;
    for (char c : text) {
        if (c == '"' || c == '\\')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

class Store {
public:
    /// What happens to a call before it is served. Returning false closes the connection without an answer.
    using Gate = std::function<bool(Message const&)>;

    Store()
        : m_listener([this](Connection& connection) { serve(connection, Gate()); })
    {
    }

    Address const& address() const { return m_listener.address(); }

    /// Opens one more listener, for one daemon, whose calls pass `gate` first.
    Address openFor(Gate gate)
    {
        m_extra.push_back(std::make_unique<Listener>([this, gate](Connection& connection) { serve(connection, gate); }));
        return m_extra.back()->address();
    }

    /// Appends a record for the platform's own writers; returns the offset.
    std::uint64_t put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::lock_guard lock(m_mutex);
        std::string content;
        content += static_cast<char>(key.size());
        content += key + value;
        return append(m_topics[topic], { content });
    }

    /// The offset that the next record of a topic will get.
    std::uint64_t end(std::string const& topic)
    {
        std::lock_guard lock(m_mutex);
        return m_topics[topic].records.size();
    }

private:
    struct Newest {
        std::uint64_t offset;
        std::string value;
    };
    struct Topic {
        std::vector<std::string> records;
        std::map<std::string, Newest> newest;
    };

    std::uint64_t append(Topic& topic, std::vector<std::string> const& contents)
    {
        std::uint64_t first = topic.records.size();
        for (std::string const& content : contents) {
            std::size_t size = static_cast<unsigned char>(content.front());
            std::string key = content.substr(1, size);
            std::string value = content.substr(1 + size);
            if (value.empty())
                topic.newest.erase(key);
            else
                topic.newest[key] = { topic.records.size(), value };
            topic.records.push_back(content);
        }
        m_changed.notify_all();
        return first;
    }

    void serve(Connection& connection, Gate const& gate)
    {
        Message request;
        while (connection.read(request, false, Clock::now() + std::chrono::minutes(5))) {
            if (gate && !gate(request))
                return;
            Message response = answer(request);
            response.fields.emplace_back("Content-Type", "application/json");
            if (!connection.write(encode(response)))
                return;
        }
    }

    Message answer(Message const& request)
    {
        std::unique_lock lock(m_mutex);
        std::string path = request.path();
        Topic& topic = m_topics[request.query("topic")];
        Message response;
        response.status = 200;
        if (path == "/currantvale/log-append")
            answerAppend(request, topic, response);
        else if (path == "/currantvale/log-read")
            answerRead(request, topic, response, lock);
        else if (path == "/currantvale/log-newest")
            answerNewest(request, topic, response);
        else
            response.status = 404;
        return response;
    }

    void answerAppend(Message const& request, Topic& topic, Message& response)
    {
        std::string at = request.query("at");
        std::uint64_t end = topic.records.size();
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != end) {
            response.status = 412;
            response.body = "{\"end_offset\":" + std::to_string(end) + "}";
            return;
        }
        std::vector<std::string> contents;
        std::string_view rest = request.body;
        while (rest.size() >= 4) {
            std::size_t size = 0;
            for (int n = 0; n < 4; ++n)
                size = size << 8U | static_cast<unsigned char>(rest[static_cast<std::size_t>(n)]);
            contents.emplace_back(rest.substr(4, size));
            rest.remove_prefix(4 + size);
        }
        std::uint64_t first = append(topic, contents);
        response.body = "{\"offset\":" + std::to_string(first) + ",\"end_offset\":" + std::to_string(topic.records.size()) + "}";
    }

    void answerRead(Message const& request, Topic& topic, Message& response, std::unique_lock<std::mutex>& lock)
    {
        std::uint64_t from = std::strtoull(request.query("from").c_str(), nullptr, 10);
        milliseconds wait(std::atoi(request.query("wait_ms").c_str()));
        m_changed.wait_for(lock, wait, [&] { return topic.records.size() > from; });
        response.body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
        for (std::uint64_t n = from; n < topic.records.size() && response.body.size() < 1'000'000; ++n)
            response.body += bigEndian(topic.records[n].size(), 4) + topic.records[n];
    }

    void answerNewest(Message const& request, Topic& topic, Message& response)
    {
        std::string after = request.query("after");
        std::string items;
        std::size_t n = 0;
        bool hasMore = false;
        for (std::map<std::string, Newest>::const_iterator it = topic.newest.upper_bound(after); it != topic.newest.end(); ++it) {
            if (n++ == 500) {
                hasMore = true;
                break;
            }
            items += (items.empty() ? "" : ",");
            items += "{\"key\":\"" + escapeJson(it->first) + "\",\"value\":\"" + base64(it->second.value) + "\",\"offset\":" + std::to_string(it->second.offset) + "}";
        }
        response.body = "{\"items\":[" + items + "],\"has_more\":" + (hasMore ? "true" : "false") + ",\"end_offset\":" + std::to_string(topic.records.size()) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::vector<std::unique_ptr<Listener>> m_extra;
    Listener m_listener;
};

}
