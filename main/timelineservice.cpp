#include "main/timelineservice.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration gatherTime = std::chrono::milliseconds(1500);

}

TimelineService::TimelineService(DaemonCore &core, PeerLinks &links, ConfigService &config)
    : m_core(core)
    , m_links(links)
    , m_config(config)
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handle(origin, body);
    });
}

void TimelineService::handle(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.timelineQuestion) {
        answer(origin, body.timelineQuestion);
        return;
    }
    if (!body.__isset.timelineAnswer) {
        return;
    }
    const auto found = m_rounds.find(body.timelineAnswer.questionId);
    if (found == m_rounds.end()) {
        return;
    }
    for (const wire::TimelineEvent &event : body.timelineAnswer.events) {
        const HybridTime time{std::chrono::microseconds(event.wallMicroseconds), event.counter};
        found->second.events.push_back(TimelineEvent{time, event.daemon, event.part, event.what, event.request, event.account});
    }
    --found->second.outstanding;
    if (found->second.outstanding == 0) {
        finish(found->first);
    }
}

void TimelineService::answer(const MessageOrigin &origin, const wire::TimelineQuestion &question)
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
    Round round;
    round.handler = std::move(handler);
    round.events.assign(m_core.timeline().events().begin(), m_core.timeline().events().end());
    std::set<std::string> addresses;
    for (const std::pair<const std::string, std::string> &daemon : m_config.state().daemons()) {
        if (daemon.first != m_core.settings().daemon) {
            addresses.insert(daemon.second);
        }
    }
    for (const std::pair<const std::string, Endpoint> &endpoint : m_config.state().endpoints()) {
        addresses.insert(endpoint.second.address);
    }
    round.outstanding = addresses.size();
    m_rounds[id] = std::move(round);
    wire::TimelineQuestion question;
    question.__set_questionId(id);
    wire::Body body;
    body.__set_timelineQuestion(question);
    for (const std::string &address : addresses) {
        m_links.sendTo(address, body);
    }
    m_core.timers().subscribeOnce(gatherTime, [this, id](TimePoint) {
        finish(id);
    });
}

void TimelineService::finish(std::int64_t id)
{
    const auto found = m_rounds.find(id);
    if (found == m_rounds.end()) {
        return;
    }
    Round round = std::move(found->second);
    m_rounds.erase(found);
    std::stable_sort(round.events.begin(), round.events.end(), [](const TimelineEvent &first, const TimelineEvent &second) {
        return first.time < second.time;
    });
    round.handler(std::move(round.events), round.outstanding);
}

}
