#include "main/servicecall.h"

#include "core/digest.h"
#include "core/hash.h"
#include "drivers/claimrowjson.h"
#include "main/probeservice.h"
#include "servers/rendezvous.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace citronspar
{

namespace
{

// Each service request is charged one token, so that the rate limit applies to it too.
constexpr std::int64_t tokensPerCall = 1;

// How long a call waits while no endpoint is available.
constexpr Duration endpointWaitTimeout = std::chrono::seconds(2);
constexpr Duration endpointRetryInterval = std::chrono::milliseconds(100);

}

ServiceCall::ServiceCall(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request,
                         bool isIdempotent)
    : Call(services, exchange, std::move(caller), std::move(route), std::move(request))
    , m_isIdempotent(isIdempotent)
{
}

std::weak_ptr<ServiceCall> ServiceCall::weak()
{
    return weak_from_this();
}

void ServiceCall::start()
{
    if (m_caller.account.empty()) {
        dispatchWithoutClaim();
        return;
    }
    reserveTokens();
}

void ServiceCall::reserveTokens()
{
    const std::weak_ptr<ServiceCall> self = weak();
    m_services.limits.reserve(m_caller.account, tokensPerCall, [self](const LimitService::Reservation &reservation) {
        const std::shared_ptr<ServiceCall> call = self.lock();
        if (call == nullptr || call->isFinished()) {
            return;
        }
        if (!reservation.grant.isGranted) {
            call->fail(reservation.grant.kind, reservation.grant.retryAfter);
            return;
        }
        if (call->m_request.idempotencyKey.empty()) {
            call->dispatchWithoutClaim();
            return;
        }
        call->m_claimKey = "claim/" + call->m_caller.account + "/" + sha256Hex(call->m_request.idempotencyKey);
        call->m_digest = hashCombine(hashBytes(call->m_request.method + " " + call->m_request.path, 0), hashBytes(call->m_request.body, 0));
        ClaimFlow::Settings settings;
        settings.maxAttempts = call->m_services.config.state().settingsFor(call->m_caller.account).maxAttempts;
        DaemonCore &core = call->m_services.core;
        const ClaimFlow::AttemptIdGenerator nextAttemptId = [&core]() {
            return core.nextId();
        };
        call->m_flow = std::make_unique<ClaimFlow>(settings, nextAttemptId, call->m_digest, call->m_deadline);
        call->execute(call->m_flow->start(Loop::now()));
    });
}

void ServiceCall::execute(const ClaimFlow::Action &action)
{
    if (const ClaimFlow::WriteRow *write = std::get_if<ClaimFlow::WriteRow>(&action)) {
        writeRow(*write);
    } else if (const ClaimFlow::ReadRow *read = std::get_if<ClaimFlow::ReadRow>(&action)) {
        readRow(*read);
    } else if (const ClaimFlow::DispatchWork *work = std::get_if<ClaimFlow::DispatchWork>(&action)) {
        m_attempt = work->attempt;
        dispatchOrWait(work->claimRevision, Loop::now() + endpointWaitTimeout);
    } else if (const ClaimFlow::ReturnStoredAnswer *stored = std::get_if<ClaimFlow::ReturnStoredAnswer>(&action)) {
        record("answered with the stored response");
        m_services.server.respond(m_exchange, stored->status, stored->contentType, stored->answer);
        finish();
    } else if (const ClaimFlow::Fail *failure = std::get_if<ClaimFlow::Fail>(&action)) {
        // The claim row in the table decides whether any attempt ran, so the error kind is exact.
        m_unsettledAttempts = 0;
        fail(failure->kind);
    }
}

void ServiceCall::writeRow(const ClaimFlow::WriteRow &write)
{
    const std::weak_ptr<ServiceCall> self = weak();
    const TablePut put{m_claimKey, write.expectedRevision, claimRowToJson(write.row)};
    m_services.core.table().transact({put}, [self](const TableReply &reply) {
        const std::shared_ptr<ServiceCall> call = self.lock();
        if (call != nullptr && !call->isFinished()) {
            const StoredClaim current = reply.rows.empty() ? StoredClaim() : storedClaimFromRow(reply.rows.front());
            call->execute(call->m_flow->handleWriteResult(reply.outcome, current, Loop::now()));
        }
    });
}

void ServiceCall::readRow(const ClaimFlow::ReadRow &read)
{
    const std::weak_ptr<ServiceCall> self = weak();
    m_services.core.timers().subscribeOnce(read.pause, [self](TimePoint) {
        const std::shared_ptr<ServiceCall> waiting = self.lock();
        if (waiting == nullptr || waiting->isFinished()) {
            return;
        }
        waiting->m_services.core.table().read(waiting->m_claimKey, [self](const std::optional<TableRow> &row) {
            const std::shared_ptr<ServiceCall> call = self.lock();
            if (call == nullptr || call->isFinished()) {
                return;
            }
            const std::optional<StoredClaim> stored
                = row.has_value() ? std::optional<StoredClaim>(storedClaimFromRow(*row)) : std::optional<StoredClaim>();
            call->execute(call->m_flow->handleReadResult(stored, Loop::now()));
        });
    });
}

bool ServiceCall::dispatch(std::int64_t claimRevision)
{
    std::vector<const Endpoint *> usable;
    std::vector<std::uint64_t> hashes;
    for (const Endpoint *endpoint : m_services.config.state().endpointsOfPool(m_route.pool)) {
        if (m_triedEndpoints.count(endpoint->id) == 0 && !m_services.probes.hasFailedRecently(endpoint->id)) {
            usable.push_back(endpoint);
            hashes.push_back(hashBytes(endpoint->id, 0));
        }
    }
    if (usable.empty() || !m_services.config.isFresh()) {
        m_triedEndpoints.clear();
        return false;
    }
    const std::uint64_t key = hashBytes(m_claimKey.empty() ? m_requestId : m_claimKey, 0);
    const Endpoint *chosen = usable[rendezvousOrder(key, hashes).front()];
    ++m_attempts;
    m_endpoint = chosen->id;
    m_isDispatched = true;
    m_nextIndex = 0;
    m_responseBody.clear();
    wire::Dispatch message;
    message.__set_body(m_request.body);
    message.__set_claimKey(m_claimKey);
    message.__set_claimRevision(claimRevision);
    message.__set_requestDigest(static_cast<std::int64_t>(m_digest));
    if (!sendDispatch(chosen->address, message)) {
        handleLinkLoss();
    }
    return true;
}

void ServiceCall::dispatchWithoutClaim()
{
    m_attempt = m_services.core.nextId();
    dispatchOrWait(0, Loop::now() + endpointWaitTimeout);
}

void ServiceCall::dispatchOrWait(std::int64_t claimRevision, TimePoint waitDeadline)
{
    if (isFinished() || dispatch(claimRevision)) {
        return;
    }
    if (Loop::now() >= std::min(waitDeadline, m_deadline)) {
        handleNoEndpoint();
        return;
    }
    const std::weak_ptr<ServiceCall> self = weak();
    m_services.core.timers().subscribeOnce(endpointRetryInterval, [self, claimRevision, waitDeadline](TimePoint) {
        const std::shared_ptr<ServiceCall> call = self.lock();
        if (call != nullptr) {
            call->dispatchOrWait(claimRevision, waitDeadline);
        }
    });
}

void ServiceCall::handleNoEndpoint()
{
    if (m_flow == nullptr) {
        fail(ErrorKind::NoEndpoint);
        return;
    }
    execute(m_flow->handleDispatchRefusal(m_attempt, ErrorKind::NoEndpoint, Loop::now()));
}

void ServiceCall::handleRefusal(AttemptId attempt, ErrorKind kind)
{
    if (isFinished() || attempt != m_attempt) {
        return;
    }
    --m_unsettledAttempts;
    record(std::string("attempt refused by ") + m_endpoint + ": " + errorResponse(kind).name);
    if (m_flow != nullptr) {
        execute(m_flow->handleDispatchRefusal(attempt, kind, Loop::now()));
        return;
    }
    const bool canRetry
        = errorResponse(kind).isRetryable && m_attempts < m_services.config.state().settingsFor(m_caller.account).maxAttempts;
    if (canRetry && m_services.retries.tryConsumeRetry()) {
        dispatchWithoutClaim();
        return;
    }
    fail(kind);
}

void ServiceCall::handleDelta(const wire::StreamDelta &delta)
{
    const AttemptId attempt{delta.attempt.incarnation, delta.attempt.counter};
    if (!isFinished() && attempt == m_attempt && delta.index == m_nextIndex) {
        m_responseBody += delta.data;
        ++m_nextIndex;
    }
}

void ServiceCall::handleStreamEnd(const wire::StreamEnd &end)
{
    const AttemptId attempt{end.attempt.incarnation, end.attempt.counter};
    if (isFinished() || attempt != m_attempt) {
        return;
    }
    if (!end.errorKind.empty() || end.count != m_nextIndex) {
        handleLinkLoss();
        return;
    }
    if (m_flow != nullptr) {
        m_flow->handleAnswer(attempt);
    }
    m_services.server.respond(m_exchange, end.status, end.contentType, m_responseBody);
    m_services.core.metrics().increment("completed");
    record("completed");
    finish();
}

void ServiceCall::handleLinkLoss()
{
    if (isFinished() || !m_isDispatched) {
        return;
    }
    m_isDispatched = false;
    m_services.probes.recordFailure(m_endpoint);
    record("no complete response from " + m_endpoint);
    if (m_flow != nullptr) {
        execute(m_flow->handleDispatchLoss(m_attempt, Loop::now()));
        return;
    }
    if (m_isIdempotent && m_attempts < m_services.config.state().settingsFor(m_caller.account).maxAttempts
        && m_services.retries.tryConsumeRetry()) {
        dispatchWithoutClaim();
        return;
    }
    fail(ErrorKind::OutcomeUnknown);
}

void ServiceCall::handleDeadline()
{
    if (m_flow == nullptr) {
        fail(m_isDispatched ? ErrorKind::OutcomeUnknown : ErrorKind::DeadlinePassed);
        return;
    }
    if (m_isDispatched) {
        // The claim row decides whether the request ran.
        handleLinkLoss();
    }
}

}
