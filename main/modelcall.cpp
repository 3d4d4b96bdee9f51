#include "main/modelcall.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxEarlyDeltas = 1024;
constexpr std::int64_t creditBatch = 64;
constexpr std::size_t maxBufferedBytes = 256 * 1024;
constexpr Duration retryDelay = std::chrono::milliseconds(10);

/** Returns role and content of a message as text, a list of parts as JSON. Returns nullopt if there is no content. */
std::optional<std::string> messageText(const json &message)
{
    if (!message.is_object() || !message.contains("content")) {
        return std::nullopt;
    }
    const std::string role = message.contains("role") && message["role"].is_string() ? message["role"].get<std::string>() : std::string();
    const json &content = message["content"];
    return role + "\n" + (content.is_string() ? content.get<std::string>() : content.dump()) + "\n";
}

std::string deltaText(const json &event)
{
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array() || event["choices"].empty()) {
        return std::string();
    }
    const json &choice = event["choices"].front();
    const json delta = choice.value("delta", json::object());
    if (delta.contains("content") && delta["content"].is_string()) {
        return delta["content"].get<std::string>();
    }
    return choice.value("text", std::string());
}

std::string sseEvent(const std::string &data)
{
    return "data: " + data + "\n\n";
}

}

ModelCall::ModelCall(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request)
    : Call(services, exchange, std::move(caller), std::move(route), std::move(request))
    , m_assembler(maxEarlyDeltas)
{
}

bool ModelCall::parseRequest()
{
    m_document = json::parse(m_request.body, nullptr, false);
    if (!m_document.is_object() || !m_document.contains("model") || !m_document["model"].is_string()) {
        return false;
    }
    if (m_document.contains("messages") && m_document["messages"].is_array()) {
        for (const json &message : m_document["messages"]) {
            const std::optional<std::string> text = messageText(message);
            if (!text.has_value()) {
                return false;
            }
            m_messages.push_back(*text);
        }
    } else if (m_document.contains("prompt") && m_document["prompt"].is_string()) {
        m_messages.push_back(m_document["prompt"].get<std::string>());
    }
    const json stream = m_document.value("stream", json(false));
    const json maxTokens = m_document.value("max_tokens", json(1));
    m_isStream = stream.is_boolean() && stream.get<bool>();
    return !m_messages.empty() && stream.is_boolean() && maxTokens.is_number_integer() && maxTokens.get<std::int64_t>() > 0;
}

void ModelCall::start()
{
    if (!parseRequest()) {
        fail(ErrorKind::BadRequest);
        return;
    }
    m_digest = hashCombine(hashBytes(m_caller.account, 0), hashBytes(m_request.body, 0));
    if (m_services.suspects.isBlocked(m_digest, Loop::now())) {
        fail(ErrorKind::RequestBlocked);
        return;
    }
    const std::vector<const Endpoint *> endpoints = m_services.config.state().endpointsOfPool(m_route.pool);
    const ChainScope scope{m_caller.account, m_document["model"].get<std::string>(), m_document.value("adapter", std::string()),
                           endpoints.empty() ? std::string() : endpoints.front()->weights};
    m_chain = buildPromptChain(scope, m_messages, m_services.core.settings().pieceBytes, m_services.core.settings().bytesPerToken);
    reserveTokens();
}

void ModelCall::reserveTokens()
{
    const std::int64_t outputLimit = m_services.config.state().settingsFor(m_caller.account).maxOutputTokens;
    m_reservedTokens = m_chain.promptTokens + std::min(m_document.value("max_tokens", outputLimit), outputLimit);
    m_document["max_tokens"] = m_reservedTokens - m_chain.promptTokens;
    const std::weak_ptr<ModelCall> weak = weak_from_this();
    m_services.limits.reserve(m_caller.account, m_reservedTokens, [weak](const LimitService::Reservation &reservation) {
        const std::shared_ptr<ModelCall> call = weak.lock();
        if (call == nullptr || call->isFinished()) {
            return;
        }
        if (!reservation.grant.isGranted) {
            call->fail(reservation.grant.kind, reservation.grant.retryAfter);
            return;
        }
        call->m_reservationId = reservation.id;
        call->requestPlacement();
    });
}

void ModelCall::requestPlacement()
{
    ProbeService::Query query;
    query.account = m_caller.account;
    query.pool = m_route.pool;
    query.chain = m_chain;
    query.excluded = m_triedEndpoints;
    query.weights = m_assembler.nextIndex() > 0 ? m_weights : std::string();
    const std::weak_ptr<ModelCall> weak = weak_from_this();
    m_services.probes.findPlacement(query, [weak](const std::optional<Placement> &placement) {
        const std::shared_ptr<ModelCall> call = weak.lock();
        if (call == nullptr || call->isFinished()) {
            return;
        }
        if (placement.has_value()) {
            call->dispatchTo(*placement);
            return;
        }
        // Every endpoint was tried or failed recently. The retry may select the tried endpoints again.
        call->m_triedEndpoints.clear();
        call->retryOrFail(ErrorKind::NoEndpoint);
    });
}

void ModelCall::dispatchTo(const Placement &placement)
{
    // A stale configuration may lack the withdrawal of the key, so nothing is dispatched, even for an admitted call.
    if (!m_services.config.isFresh()) {
        failResponse(ErrorKind::NotFresh);
        return;
    }
    ++m_attempts;
    m_attempt = m_services.core.nextId();
    m_endpoint = placement.endpoint;
    m_weights = placement.weights;
    m_assembler.beginAttempt(m_attempt);
    json document = m_document;
    document["stream"] = true;
    if (m_assembler.nextIndex() > 0) {
        document["resume"] = {{"text", m_outputText}, {"tokens", m_assembler.nextIndex()}};
    }
    wire::Dispatch dispatch;
    dispatch.__set_weights(placement.weights);
    dispatch.__set_engineIncarnation(placement.engineIncarnation);
    dispatch.__set_body(document.dump());
    dispatch.__set_blocks(std::vector<std::int64_t>(m_chain.blocks.begin(), m_chain.blocks.end()));
    dispatch.__set_promptTokens(m_chain.promptTokens);
    dispatch.__set_requestDigest(static_cast<std::int64_t>(m_digest));
    if (!sendDispatch(placement.address, dispatch)) {
        handleLinkLoss();
    }
}

void ModelCall::retryOrFail(ErrorKind kind)
{
    const bool canRetry
        = m_attempts < m_services.config.state().settingsFor(m_caller.account).maxAttempts && Loop::now() + retryDelay < m_deadline;
    if (m_services.suspects.isBlocked(m_digest, Loop::now())) {
        failResponse(ErrorKind::RequestBlocked);
        return;
    }
    if (!canRetry || !m_services.retries.tryConsumeRetry()) {
        failResponse(kind);
        return;
    }
    ++m_attempts;
    m_services.core.metrics().increment("retries");
    m_attempt = AttemptId();
    const std::weak_ptr<ModelCall> weak = weak_from_this();
    m_services.core.timers().subscribeOnce(retryDelay, [weak](TimePoint) {
        const std::shared_ptr<ModelCall> call = weak.lock();
        if (call != nullptr && !call->isFinished()) {
            call->requestPlacement();
        }
    });
}

void ModelCall::handleRefusal(AttemptId attempt, ErrorKind kind)
{
    if (isFinished() || attempt != m_attempt) {
        return;
    }
    --m_unsettledAttempts;
    record(std::string("attempt refused by ") + m_endpoint + ": " + errorResponse(kind).name);
    if (!errorResponse(kind).isRetryable) {
        failResponse(kind);
        return;
    }
    retryOrFail(kind);
}

void ModelCall::handleDelta(const wire::StreamDelta &delta)
{
    const AttemptId attempt{delta.attempt.incarnation, delta.attempt.counter};
    ++m_pendingCredit;
    for (const std::string &data : m_assembler.add(attempt, delta.index, delta.data)) {
        forwardEvent(data);
    }
    grantCredit();
    if (m_assembler.state() == StreamAssembler::State::Complete) {
        completeResponse();
    }
}

void ModelCall::forwardEvent(const std::string &data)
{
    if (!m_hasFirstDelta) {
        m_hasFirstDelta = true;
        m_services.core.metrics().addSample("first_token_ms", Loop::now() - m_startedAt);
        record("first token received");
        if (m_isStream) {
            m_services.server.beginStream(m_exchange, 200, "text/event-stream");
        }
    }
    m_outputText += deltaText(json::parse(data, nullptr, false));
    if (m_isStream) {
        m_services.server.writeStream(m_exchange, sseEvent(data));
    }
}

void ModelCall::grantCredit()
{
    const bool isCallerSlow = m_services.server.bufferedBytes(m_exchange) > maxBufferedBytes;
    if (m_pendingCredit < creditBatch || isCallerSlow) {
        return;
    }
    wire::Credit credit;
    credit.attempt.__set_incarnation(m_attempt.incarnation);
    credit.attempt.__set_counter(m_attempt.counter);
    credit.__isset.attempt = true;
    credit.__set_deltas(m_pendingCredit);
    wire::Body body;
    body.__set_credit(credit);
    m_services.links.send(m_link, body);
    m_pendingCredit = 0;
}

void ModelCall::handleDrained()
{
    grantCredit();
}

void ModelCall::handleStreamEnd(const wire::StreamEnd &end)
{
    const AttemptId attempt{end.attempt.incarnation, end.attempt.counter};
    if (isFinished() || attempt != m_attempt) {
        return;
    }
    if (!end.errorKind.empty()) {
        const ErrorKind kind = errorKindFromName(end.errorKind).value_or(ErrorKind::StreamBroken);
        m_assembler.fail(attempt);
        record("attempt failed: " + end.errorKind);
        if (errorResponse(kind).isRetryable) {
            retryOrFail(kind);
        } else {
            failResponse(kind);
        }
        return;
    }
    m_assembler.end(attempt, end.count);
    if (m_assembler.state() == StreamAssembler::State::Complete) {
        completeResponse();
    } else if (m_assembler.state() == StreamAssembler::State::Broken) {
        failResponse(ErrorKind::StreamBroken);
    }
}

void ModelCall::completeResponse()
{
    if (isFinished()) {
        return;
    }
    if (m_isStream) {
        if (!m_hasFirstDelta) {
            m_services.server.beginStream(m_exchange, 200, "text/event-stream");
        }
        m_services.server.writeStream(m_exchange, sseEvent("[DONE]"));
        m_services.server.endStream(m_exchange);
    } else {
        const json answer = {
            {"id", m_requestId},
            {"object", "chat.completion"},
            {"model", m_document["model"]},
            {"choices", {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", m_outputText}}}, {"finish_reason", "stop"}}}},
            {"usage", {{"prompt_tokens", m_chain.promptTokens}, {"completion_tokens", m_assembler.nextIndex()}}},
        };
        m_services.server.respond(m_exchange, 200, "application/json", answer.dump());
    }
    m_services.core.metrics().increment("completed");
    m_services.core.metrics().addSample("answer_ms", Loop::now() - m_startedAt);
    record("completed after " + std::to_string(m_assembler.nextIndex()) + " deltas");
    refundReservation();
    finish();
}

void ModelCall::failResponse(ErrorKind kind)
{
    refundReservation();
    if (!m_hasFirstDelta || !m_isStream) {
        fail(kind);
        return;
    }
    m_services.server.writeStream(m_exchange, sseEvent(errorBody(kind, runState(kind), m_requestId, Duration::zero())));
    m_services.server.endStream(m_exchange);
    m_services.core.metrics().increment(std::string("broken.") + errorResponse(kind).name);
    record(std::string("response stream aborted: ") + errorResponse(kind).name);
    finish();
}

void ModelCall::refundReservation()
{
    if (m_reservationId.empty()) {
        return;
    }
    const bool hasRun = m_assembler.nextIndex() > 0;
    const std::int64_t used = hasRun ? m_chain.promptTokens + m_assembler.nextIndex() : 0;
    m_services.limits.refund(m_caller.account, m_reservationId, std::max<std::int64_t>(m_reservedTokens - used, 0));
    m_reservationId.clear();
}

void ModelCall::handleLinkLoss()
{
    if (isFinished()) {
        return;
    }
    m_services.probes.recordFailure(m_endpoint);
    m_assembler.fail(m_attempt);
    record("link lost or send buffer full: " + m_endpoint);
    retryOrFail(ErrorKind::StreamBroken);
}

void ModelCall::handleDeadline()
{
    failResponse(m_attempts == 0 ? ErrorKind::DeadlinePassed : ErrorKind::StreamBroken);
}

void ModelCall::handleCallerDisconnect()
{
    if (!isFinished()) {
        refundReservation();
    }
    Call::handleCallerDisconnect();
}

}
