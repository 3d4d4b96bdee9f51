#pragma once

#include "main/call.h"
#include "servers/claimflow.h"

#include <memory>
#include <string>

namespace citronspar
{

/**
 * A request to a service other than a model engine. With an idempotency key,
 * all requests of the account with that key together run at most once. Without
 * one, an attempt that may have run is repeated only on an idempotent route.
 */
class ServiceCall : public Call, public std::enable_shared_from_this<ServiceCall>
{
private:
    std::unique_ptr<ClaimFlow> m_flow;
    std::string m_claimKey;
    std::uint64_t m_digest = 0;
    std::string m_responseBody;
    std::int64_t m_nextIndex = 0;
    bool m_isDispatched = false;
    bool m_isIdempotent;
    int m_attempts = 0;

    void reserveTokens();
    void execute(const ClaimFlow::Action &action);
    void writeRow(const ClaimFlow::WriteRow &write);
    void readRow(const ClaimFlow::ReadRow &read);
    bool dispatch(std::int64_t claimRevision);
    void dispatchOrWait(std::int64_t claimRevision, TimePoint waitDeadline);
    void handleNoEndpoint();
    void dispatchWithoutClaim();
    std::weak_ptr<ServiceCall> weak();

public:
    /** @param isIdempotent whether a request of this route may run more than once */
    ServiceCall(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request, bool isIdempotent);

    void start() override;
    void handleRefusal(AttemptId attempt, ErrorKind kind) override;
    void handleDelta(const wire::StreamDelta &delta) override;
    void handleStreamEnd(const wire::StreamEnd &end) override;
    void handleLinkLoss() override;
    void handleDeadline() override;
};

}
