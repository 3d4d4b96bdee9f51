#include "main/proxy/occupantcheck.h"

#include "platform/requestcodec.h"

#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration responseTimeout = std::chrono::milliseconds(500);

// A busy endpoint may refuse a health check or let it wait.
constexpr Duration retryDelay = std::chrono::milliseconds(300);
constexpr int maxTries = 5;

}

OccupantCheck::OccupantCheck(Loop &loop, HttpPool &pool, DecisionLog &log)
    : m_loop(loop)
    , m_pool(pool)
    , m_log(log)
{
}

OccupantCheck::~OccupantCheck()
{
    for (const std::pair<const std::string, Check> &entry : m_checks) {
        m_loop.timers().unsubscribe(entry.second.timer);
        m_pool.cancel(entry.second.call);
    }
}

void OccupantCheck::start(const EndpointStart &start, const std::string &healthPath, Handler handler)
{
    const std::pair<std::map<std::string, Check>::iterator, bool> inserted = m_checks.emplace(start.address, Check());
    if (!inserted.second) {
        return;
    }
    inserted.first->second = Check{start, healthPath, std::move(handler), maxTries, 0, 0};
    send(start.address);
}

void OccupantCheck::send(const std::string &address)
{
    Check &check = m_checks.at(address);
    check.timer = 0;
    --check.triesLeft;
    HttpCall call;
    call.target = parseSocketAddress(address);
    call.poolKey = "check " + address;
    call.head = platform::healthCheckHead(address, check.healthPath, check.start.id);
    call.connectTimeout = responseTimeout;
    call.maxIdle = Duration::zero();
    check.call
        = m_pool.fetch(std::move(call), responseTimeout, [this, address](HttpCallResult result, const HttpHead &head, const std::string &) {
              handleResponse(address, result, head);
          });
}

void OccupantCheck::handleResponse(const std::string &address, HttpCallResult result, const HttpHead &head)
{
    Check &check = m_checks.at(address);
    check.call = 0;
    const bool isComplete = result == HttpCallResult::Complete;
    const platform::EndpointResponse response = isComplete ? platform::decodeEndpointResponse(head) : platform::EndpointResponse();
    const std::string &id = response.instance;
    // An endpoint that refuses the request as one for another endpoint may not name itself.
    const bool isStated = !id.empty() || response.isMisdirected;
    m_log.write("endpoints", "asked an endpoint for its id",
                {{"address", address}, {"expected", check.start.id}, {"id", id}, {"status", std::to_string(head.status)}});
    if (!isStated && check.triesLeft > 0) {
        check.timer = m_loop.timers().subscribeOnce(retryDelay, [this, address](TimePoint) {
            send(address);
        });
        return;
    }
    const Handler handler = std::move(check.handler);
    m_checks.erase(address);
    if (isStated) {
        handler(id);
    }
}

}
