#pragma once

#include "main/call.h"
#include "main/probeservice.h"
#include "servers/promptchain.h"
#include "servers/streamassembler.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace citronspar
{

/**
 * A chat or text completion request. It is safe to retry: if an engine fails
 * mid-stream, generation resumes at another endpoint.
 */
class ModelCall : public Call, public std::enable_shared_from_this<ModelCall>
{
private:
    nlohmann::json m_document;
    bool m_isStream = false;
    std::vector<std::string> m_messages;
    PromptChain m_chain;
    StreamAssembler m_assembler;
    std::string m_outputText;
    std::string m_weights;
    std::string m_reservationId;
    std::int64_t m_reservedTokens = 0;
    std::uint64_t m_digest = 0;
    std::int64_t m_pendingCredit = 0;
    int m_attempts = 0;
    bool m_hasFirstDelta = false;

    bool parseRequest();
    void reserveTokens();
    void requestPlacement();
    void dispatchTo(const Placement &placement);
    void retryOrFail(ErrorKind kind);
    void forwardEvent(const std::string &data);
    void completeResponse();
    void failResponse(ErrorKind kind);
    void refundReservation();
    void grantCredit();

public:
    ModelCall(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request);

    void start() override;
    void handleRefusal(AttemptId attempt, ErrorKind kind) override;
    void handleDelta(const wire::StreamDelta &delta) override;
    void handleStreamEnd(const wire::StreamEnd &end) override;
    void handleLinkLoss() override;
    void handleDeadline() override;
    void handleDrained() override;
    void handleCallerDisconnect() override;
};

}
