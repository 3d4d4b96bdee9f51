#include "drivers/tableclient.h"

#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;

TableRow rowFromJson(const json &document)
{
    return TableRow{document.value("revision", std::int64_t(0)), document.value("value", json())};
}

TableReply replyFromBody(HttpClientResult result, int status, const std::string &body)
{
    TableReply reply;
    const json document = json::parse(body, nullptr, false);
    const bool hasOutcome = result == HttpClientResult::Complete && (status == statusOk || status == statusConflict);
    if (!hasOutcome || !document.is_object() || !document.contains("rows")) {
        return reply;
    }
    reply.outcome = status == statusOk ? TableOutcome::Committed : TableOutcome::Conflict;
    for (const json &row : document["rows"]) {
        reply.rows.push_back(rowFromJson(row));
    }
    return reply;
}

}

TableClient::TableClient(HttpClient &http, SocketAddress address, Duration timeout)
    : m_http(http)
    , m_address(std::move(address))
    , m_timeout(timeout)
{
}

void TableClient::read(const std::string &key, const ReadHandler &handler)
{
    HttpClientRequest request;
    request.target = m_address;
    request.method = "POST";
    request.path = "/table/read";
    request.body = json{{"key", key}}.dump();
    m_http.fetch(std::move(request), m_timeout, [handler](HttpClientResult result, int status, const std::string &body) {
        const json document = json::parse(body, nullptr, false);
        if (result != HttpClientResult::Complete || status != statusOk || !document.is_object()) {
            handler(std::nullopt);
            return;
        }
        handler(rowFromJson(document));
    });
}

void TableClient::transact(const std::vector<TablePut> &puts, const WriteHandler &handler)
{
    json items = json::array();
    for (const TablePut &put : puts) {
        items.push_back({{"key", put.key}, {"revision", put.expectedRevision}, {"value", put.value}});
    }
    HttpClientRequest request;
    request.target = m_address;
    request.method = "POST";
    request.path = "/table/transact";
    request.body = json{{"puts", items}}.dump();
    const std::size_t count = puts.size();
    m_http.fetch(std::move(request), m_timeout, [handler, count](HttpClientResult result, int status, const std::string &body) {
        TableReply reply = replyFromBody(result, status, body);
        if (reply.rows.size() != count) {
            reply = TableReply();
        }
        handler(reply);
    });
}

}
