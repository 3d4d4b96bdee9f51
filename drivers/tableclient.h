#pragma once

#include "drivers/httpclient.h"
#include "servers/claimrow.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** A row of the table service; the revision is 0 if there is no row. */
struct TableRow
{
    std::int64_t revision = 0;
    nlohmann::json value;
};

/** A conditional write: it applies only if the row has the expected revision. */
struct TablePut
{
    std::string key;
    std::int64_t expectedRevision = 0;
    nlohmann::json value;
};

/** The outcome of a transaction. After a commit or a conflict, it has the current rows in the order of the puts. */
struct TableReply
{
    TableOutcome outcome = TableOutcome::Unknown;
    std::vector<TableRow> rows;
};

/** HTTP client for the platform's transactional table service. */
class TableClient
{
public:
    using ReadHandler = std::function<void(const std::optional<TableRow> &row)>;
    using WriteHandler = std::function<void(const TableReply &reply)>;

private:
    HttpClient &m_http;
    SocketAddress m_address;
    Duration m_timeout;

public:
    TableClient(HttpClient &http, SocketAddress address, Duration timeout);

    /** Reads a row; the handler gets nullopt if there is no valid response. */
    void read(const std::string &key, const ReadHandler &handler);

    /** Applies either all of @p puts or none of them. */
    void transact(const std::vector<TablePut> &puts, const WriteHandler &handler);
};

}
