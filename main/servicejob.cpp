#include "main/servicejob.h"

#include "drivers/claimrowjson.h"

#include <utility>
#include <variant>

namespace citronspar
{

ServiceJob::ServiceJob(DaemonCore &core, PeerLinks &links, PeerNetwork::LinkId link, const wire::Dispatch &dispatch, SocketAddress service)
    : EndpointJob(core, links, link, dispatch)
    , m_service(std::move(service))
{
}

void ServiceJob::start()
{
    if (m_dispatch.claimKey.empty()) {
        sendToService();
        return;
    }
    const std::uint64_t digest = static_cast<std::uint64_t>(m_dispatch.requestDigest);
    m_gate = std::make_unique<StartGate>(StartGate::Settings(), attempt(), digest, m_dispatch.claimRevision, m_core.nextId());
    execute(m_gate->start(Loop::now()));
}

void ServiceJob::execute(const StartGate::Action &action)
{
    if (const StartGate::WriteRow *write = std::get_if<StartGate::WriteRow>(&action)) {
        writeRow(*write);
    } else if (const StartGate::ReadRow *read = std::get_if<StartGate::ReadRow>(&action)) {
        readRow(*read);
    } else if (std::holds_alternative<StartGate::ForwardWork>(action)) {
        sendToService();
    } else if (const StartGate::Refuse *refuse = std::get_if<StartGate::Refuse>(&action)) {
        sendRefusal(refuse->kind);
        finish();
    } else {
        finishIfGateFinished();
    }
}

void ServiceJob::finishIfGateFinished()
{
    if (m_gate != nullptr && m_gate->isFinished()) {
        finish();
    }
}

void ServiceJob::writeRow(const StartGate::WriteRow &write)
{
    const std::shared_ptr<ServiceJob> self = shared_from_this();
    const TablePut put{m_dispatch.claimKey, write.expectedRevision, claimRowToJson(write.row)};
    m_core.table().transact({put}, [self](const TableReply &reply) {
        const StoredClaim current = reply.rows.empty() ? StoredClaim() : storedClaimFromRow(reply.rows.front());
        self->execute(self->m_gate->handleWriteResult(reply.outcome, current, Loop::now()));
    });
}

void ServiceJob::readRow(const StartGate::ReadRow &read)
{
    const std::shared_ptr<ServiceJob> self = shared_from_this();
    m_core.timers().subscribeOnce(read.pause, [self](TimePoint) {
        self->m_core.table().read(self->m_dispatch.claimKey, [self](const std::optional<TableRow> &row) {
            const std::optional<StoredClaim> stored
                = row.has_value() ? std::optional<StoredClaim>(storedClaimFromRow(*row)) : std::optional<StoredClaim>();
            self->execute(self->m_gate->handleReadResult(stored, Loop::now()));
        });
    });
}

void ServiceJob::sendToService()
{
    m_core.record("endpoint", "request sent to the service", attempt().toString(), m_dispatch.account);
    HttpClientRequest request;
    request.target = m_service;
    request.method = m_dispatch.method;
    request.path = m_dispatch.path;
    request.headers.emplace_back("content-type", "application/json");
    request.headers.emplace_back("x-attempt", attempt().toString());
    request.body = m_dispatch.body;
    const std::shared_ptr<ServiceJob> self = shared_from_this();
    HttpClient::Handlers handlers;
    handlers.onHead = [self](int status, const std::string &contentType) {
        self->m_status = status;
        self->m_contentType = contentType;
    };
    handlers.onData = [self](const std::string &data) {
        self->handleServiceData(data);
    };
    handlers.onEnd = [self](HttpClientResult result) {
        self->handleServiceEnd(result);
    };
    m_call = m_core.http().send(std::move(request), std::move(handlers));
}

void ServiceJob::handleServiceData(const std::string &data)
{
    if (m_responseBody.size() + data.size() > m_core.settings().maxBodyBytes) {
        // The service ran the request, but the response is too large to store or forward.
        m_core.record("endpoint", "service response exceeds maxBodyBytes", attempt().toString(), m_dispatch.account);
        m_core.http().cancel(m_call);
        handleServiceEnd(HttpClientResult::Broken);
        return;
    }
    m_responseBody += data;
}

void ServiceJob::handleServiceEnd(HttpClientResult result)
{
    if (result == HttpClientResult::NotSent) {
        if (m_gate != nullptr) {
            execute(m_gate->handleWorkNotSent(Loop::now()));
        } else {
            sendRefusal(ErrorKind::NoEndpoint);
            finish();
        }
        return;
    }
    if (result == HttpClientResult::Broken) {
        if (m_gate != nullptr) {
            m_gate->handleWorkLoss();
        }
        sendEnd(0, errorResponse(ErrorKind::OutcomeUnknown).name, 0, std::string());
        finish();
        return;
    }
    sendDelta(0, m_responseBody);
    sendEnd(1, std::string(), m_status, m_contentType);
    if (m_gate == nullptr) {
        finish();
        return;
    }
    execute(m_gate->handleWorkAnswer(m_status, m_contentType, m_responseBody, Loop::now()));
}

void ServiceJob::cancel()
{
    // A request that may run only once is not aborted, so that its response can be stored.
}

}
