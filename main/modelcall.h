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

/** A chat or plain completion. It may be run again, and goes on elsewhere when an engine is lost. */
class ModelCall : public Call, public std::enable_shared_from_this<ModelCall>
{
private:
    nlohmann::json m_document;
    bool m_isStream = false;
    std::vector<std::string> m_messages;
    PromptChain m_chain;
    StreamAssembler m_assembler;
    std::string m_text;
    std::string m_weights;
    std::string m_reservation;
    std::int64_t m_reservedTokens = 0;
    std::uint64_t m_digest = 0;
    std::int64_t m_creditOwed = 0;
    int m_attempts = 0;
    bool m_hasBegun = false;

    bool parseRequest();
    void reserveTokens();
    void findPlace();
    void dispatchTo(const Placement &placement);
    void retryOr(ErrorKind kind);
    void passOn(const std::string &data);
    void completeAnswer();
    void breakStream(ErrorKind kind);
    void settleReservation();
    void grantCredit();

public:
    ModelCall(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request);

    void start() override;
    void refused(AttemptId attempt, ErrorKind kind) override;
    void delta(const wire::StreamDelta &delta) override;
    void ended(const wire::StreamEnd &end) override;
    void linkLost() override;
    void deadlinePassed() override;
    void drained() override;
    void callerGone() override;
};

}
