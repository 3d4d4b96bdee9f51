#include "main/metricsserver.h"

namespace citronspar
{

MetricsServer::MetricsServer(Loop &loop, const Metrics &metrics)
    : m_listener(loop)
    , m_metrics(metrics)
{
    m_listener.setLimits(HttpListener::probeLimits());
    m_listener.onRequest([this](HttpListener::ExchangeId id, const HttpIncomingRequest &request) {
        HttpHead head;
        head.status = request.head.target == "/metrics" ? 200 : 404;
        head.reason = head.status == 200 ? "OK" : "Not Found";
        head.set("Content-Type", "text/plain; version=0.0.4");
        m_listener.respond(id, head, head.status == 200 ? m_metrics.prometheusText() : std::string());
    });
}

bool MetricsServer::open(const std::string &address)
{
    return m_listener.open(parseSocketAddress(address));
}

}
