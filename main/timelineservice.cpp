#include "main/timelineservice.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration gatherTimeout = std::chrono::milliseconds(1500);

}

TimelineService::TimelineService(DaemonCore &core, PeerLinks &links, ConfigService &config)
    : m_core(core)
    , m_links(links)
    , m_config(config)
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handleMessage(origin, body);
    });
}

void TimelineService::handleMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.timelineQuestion) {
        sendAnswer(origin, body.timelineQuestion);
        return;
    }
    if (!body.__isset.timelineAnswer) {
        return;
    }
    const auto found = m_pendingQueries.find(body.timelineAnswer.questionId);
    if (found == m_pendingQueries.end()) {
        return;
    }
    for (const wire::TimelineEvent &event : body.timelineAnswer.events) {
        const HybridTime time{std::chrono::microseconds(event.wallMicroseconds), event.counter};
        found->second.events.push_back(TimelineEvent{time, event.daemon, event.part, event.what, event.request, event.account});
    }
    --found->second.outstanding;
    if (found->second.outstanding == 0) {
        finishQuery(found->first);
    }
}

void TimelineService::sendAnswer(const MessageOrigin &origin, const wire::TimelineQuestion &question)
{
    wire::TimelineAnswer answer;
    answer.__set_questionId(question.questionId);
    for (const TimelineEvent &event : m_core.timeline().events()) {
        wire::TimelineEvent sent;
        sent.__set_wallMicroseconds(event.time.wall.count());
        sent.__set_counter(event.time.counter);
        sent.__set_daemon(event.daemon);
        sent.__set_part(event.part);
        sent.__set_what(event.what);
        sent.__set_request(event.request);
        sent.__set_account(event.account);
        answer.events.push_back(sent);
    }
    answer.__isset.events = true;
    wire::Body body;
    body.__set_timelineAnswer(answer);
    m_links.send(origin.link, body);
}

void TimelineService::gather(DoneHandler handler)
{
    const std::int64_t id = m_core.nextId().counter;
    PendingQuery query;
    query.handler = std::move(handler);
    query.events.assign(m_core.timeline().events().begin(), m_core.timeline().events().end());
    std::set<std::string> addresses;
    for (const std::pair<const std::string, std::string> &daemon : m_config.state().daemons()) {
        if (daemon.first != m_core.settings().daemon) {
            addresses.insert(daemon.second);
        }
    }
    for (const std::pair<const std::string, Endpoint> &endpoint : m_config.state().endpoints()) {
        addresses.insert(endpoint.second.address);
    }
    query.outstanding = addresses.size();
    m_pendingQueries[id] = std::move(query);
    wire::TimelineQuestion question;
    question.__set_questionId(id);
    wire::Body body;
    body.__set_timelineQuestion(question);
    for (const std::string &address : addresses) {
        m_links.sendTo(address, body);
    }
    m_core.timers().subscribeOnce(gatherTimeout, [this, id](TimePoint) {
        finishQuery(id);
    });
}

void TimelineService::finishQuery(std::int64_t id)
{
    const auto found = m_pendingQueries.find(id);
    if (found == m_pendingQueries.end()) {
        return;
    }
    PendingQuery query = std::move(found->second);
    m_pendingQueries.erase(found);
    std::stable_sort(query.events.begin(), query.events.end(), [](const TimelineEvent &first, const TimelineEvent &second) {
        return first.time < second.time;
    });
    query.handler(std::move(query.events), query.outstanding);
}

}
