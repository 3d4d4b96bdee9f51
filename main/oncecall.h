#pragma once

#include "main/call.h"
#include "servers/claimflow.h"

#include <memory>
#include <string>

namespace citronspar
{

/**
 * A call to a plain service that must not run twice. With an idempotency key
 * it runs at most once over all repeats; without one the router makes a
 * single attempt.
 */
class OnceCall : public Call, public std::enable_shared_from_this<OnceCall>
{
private:
    std::unique_ptr<ClaimFlow> m_flow;
    std::string m_claimKey;
    std::uint64_t m_digest = 0;
    std::string m_answer;
    std::int64_t m_nextIndex = 0;
    bool m_isDispatched = false;
    bool m_canRepeat;
    int m_attempts = 0;

    void reserveThenRun();
    void act(const ClaimFlow::Action &action);
    void writeRow(const ClaimFlow::WriteRow &write);
    void readRow(const ClaimFlow::ReadRow &read);
    bool dispatch(std::int64_t claimRevision);
    void dispatchOrWait(std::int64_t claimRevision, TimePoint giveUpAt);
    void noEndpoint();
    void dispatchUnclaimed();
    std::weak_ptr<OnceCall> weak();

public:
    /** @param canRepeat whether the route's calls may be run again */
    OnceCall(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request, bool canRepeat);

    void start() override;
    void refused(AttemptId attempt, ErrorKind kind) override;
    void delta(const wire::StreamDelta &delta) override;
    void ended(const wire::StreamEnd &end) override;
    void linkLost() override;
    void deadlinePassed() override;
};

}
