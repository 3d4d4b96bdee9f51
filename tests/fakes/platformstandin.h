#pragma once

#include "core/base64.h"
#include "drivers/httplistener.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace citronspar::fakes
{

/** A stand-in for the platform's store: rows, feeds that wait, and outages. Runs on the test's loop. */
class StoreStandIn
{
private:
    struct Waiting
    {
        HttpListener::ExchangeId id = 0;
        std::string table;
        std::int64_t after = 0;
    };

    Loop &m_loop;
    HttpListener m_listener;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_tables;
    std::int64_t m_version = 0;
    std::vector<Waiting> m_waiting;

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t start = target.find(name + "=");
        if (start == std::string::npos) {
            return std::string();
        }
        const std::string rest = target.substr(start + name.size() + 1);
        return rest.substr(0, rest.find('&'));
    }

    nlohmann::json rowsAfter(const std::string &table, std::int64_t after) const
    {
        nlohmann::json rows = nlohmann::json::array();
        const auto found = m_tables.find(table);
        if (found != m_tables.end()) {
            for (const std::pair<const std::string, nlohmann::json> &row : found->second) {
                if (row.second.at("ver").get<std::int64_t>() > after) {
                    rows.push_back(row.second);
                }
            }
        }
        return rows;
    }

    void answer(HttpListener::ExchangeId id, int status, const nlohmann::json &rows)
    {
        HttpHead head;
        head.status = status;
        head.reason = "Any";
        const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(Loop::now().time_since_epoch()).count() + 12345;
        m_listener.respond(id, head, nlohmann::json({{"rows", rows}, {"truncated", false}, {"ver", m_version}, {"nowMs", nowMs}}).dump());
    }

    void handle(HttpListener::ExchangeId id, const HttpIncoming &request)
    {
        ++calls;
        if (isSilent) {
            return;
        }
        if (isBusy) {
            answer(id, 503, nlohmann::json::array());
            return;
        }
        const std::string &target = request.head.target;
        const std::string table = parameter(target, "table");
        if (target.rfind("/citronspar/rows-feed", 0) == 0) {
            feed(id, table, std::stoll(parameter(target, "after")), std::stoll(parameter(target, "waitMs")));
        } else if (target.rfind("/citronspar/rows-get", 0) == 0) {
            answer(id, 200, rowsAfter(table, 0));
        } else {
            ++m_version;
            answer(id, 200, nlohmann::json::array());
        }
    }

    void feed(HttpListener::ExchangeId id, const std::string &table, std::int64_t after, std::int64_t waitMs)
    {
        if (after < historyStart) {
            answer(id, 410, nlohmann::json::array());
            return;
        }
        const nlohmann::json rows = rowsAfter(table, after);
        if (!rows.empty() || waitMs == 0) {
            answer(id, 200, rows);
            return;
        }
        m_waiting.push_back(Waiting{id, table, after});
        m_loop.timers().subscribeOnce(std::chrono::milliseconds(waitMs), [this, id](TimePoint) {
            if (!isSilent) {
                answer(id, 200, nlohmann::json::array());
            }
        });
    }

public:
    bool isSilent = false;
    bool isBusy = false;
    int calls = 0;
    /** Feeds from before this version get 410. */
    std::int64_t historyStart = 0;

    StoreStandIn(Loop &loop, const SocketAddress &address)
        : m_loop(loop)
        , m_listener(loop)
    {
        m_listener.onRequest([this](HttpListener::ExchangeId id, const HttpIncoming &request) {
            handle(id, request);
        });
        m_listener.open(address);
    }

    /** Drops all history, as a store does that runs short of it. */
    void forgetHistory()
    {
        historyStart = m_version;
    }

    void put(const std::string &table, const std::string &key, const std::string &value, bool isDeleted = false)
    {
        ++m_version;
        nlohmann::json row = {{"table", table}, {"part", ""}, {"key", key}, {"value", encodeBase64(value)}, {"ver", m_version}};
        if (isDeleted) {
            row["deleted"] = true;
        }
        m_tables[table][key] = row;
        std::vector<Waiting> waiting;
        waiting.swap(m_waiting);
        for (const Waiting &feedWaiting : waiting) {
            if (feedWaiting.table == table && !isSilent) {
                answer(feedWaiting.id, 200, rowsAfter(table, feedWaiting.after));
            } else {
                m_waiting.push_back(feedWaiting);
            }
        }
    }
};

/** A stand-in for an endpoint: it records what it gets and answers as the test says. */
class EndpointStandIn
{
public:
    enum class Behaviour {
        Answer,
        Refuse,
        Unsigned,
        CutInEvent,
        Lose,
        Fail,
        Silent,
    };

    struct Received
    {
        HttpHead head;
        std::string body;
    };

private:
    HttpListener m_listener;

    HttpHead headFor(const HttpIncoming &request, int status) const
    {
        HttpHead head;
        head.status = status;
        head.reason = "Any";
        head.set("Citronspar-Request-Id", request.head.value("Citronspar-Request-Id"));
        return head;
    }

    static std::string eventText(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
    }

    void handle(HttpListener::ExchangeId id, const HttpIncoming &request)
    {
        received.push_back(Received{request.head, request.body});
        if (request.head.value("Citronspar-Expect-Instance") != instance) {
            HttpHead other = headFor(request, 421);
            other.set("Citronspar-Instance-Id", instance);
            m_listener.respond(id, other, std::string());
            return;
        }
        HttpHead head = headFor(request, behaviour == Behaviour::Fail ? 500 : 200);
        head.set("Citronspar-Server-Seal", "seal-" + instance);
        switch (behaviour) {
        case Behaviour::Answer:
            stream(id, head, request, lastEvent);
            return;
        case Behaviour::CutInEvent:
            m_listener.begin(id, head, -1);
            m_listener.write(id, eventText(1) + eventText(2) + "id: 3\ndata: pie");
            m_listener.abort(id);
            return;
        case Behaviour::Refuse: {
            HttpHead refusal = headFor(request, 503);
            refusal.set("Citronspar-Not-Run", "1");
            m_listener.respond(id, refusal, std::string());
            return;
        }
        case Behaviour::Unsigned:
            m_listener.respond(id, headFor(request, 200), "not mine");
            return;
        case Behaviour::Lose:
            m_listener.abort(id);
            return;
        case Behaviour::Fail:
            m_listener.respond(id, head, "failed");
            return;
        case Behaviour::Silent:
            return;
        }
    }

    void stream(HttpListener::ExchangeId id, const HttpHead &head, const HttpIncoming &request, int last)
    {
        const std::string resume = request.head.value("Last-Event-Id");
        const int first = resume.empty() ? 1 : std::stoi(resume) + 1;
        m_listener.begin(id, head, -1);
        for (int event = first; event <= last; ++event) {
            m_listener.write(id, eventText(event));
        }
        m_listener.finish(id);
    }

public:
    std::string instance;
    Behaviour behaviour = Behaviour::Answer;
    int lastEvent = 4;
    int gone = 0;
    std::vector<Received> received;

    EndpointStandIn(Loop &loop, const SocketAddress &address, std::string id)
        : m_listener(loop)
        , instance(std::move(id))
    {
        m_listener.onRequest([this](HttpListener::ExchangeId exchange, const HttpIncoming &request) {
            handle(exchange, request);
        });
        m_listener.onGone([this](HttpListener::ExchangeId) {
            ++gone;
        });
        m_listener.open(address);
    }

    static std::string wholeStream()
    {
        return eventText(1) + eventText(2) + eventText(3) + eventText(4);
    }
};

}
