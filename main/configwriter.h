#pragma once

#include "core/errorkind.h"
#include "main/configservice.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace citronspar
{

/** How a change of the configuration ended. */
struct ChangeResult
{
    std::optional<ErrorKind> error;
    std::string reason;
    std::int64_t version = 0;
};

/**
 * Commits changes of the configuration: one transaction on the version row
 * and the document. A lost reply is resolved by reading back the change's id,
 * never by writing twice.
 */
class ConfigWriter
{
public:
    using DoneHandler = std::function<void(const ChangeResult &result)>;

    /** Makes the changed document from the present one; nothing when it doesn't apply any more. */
    using Edit = std::function<std::optional<nlohmann::json>(const nlohmann::json &document)>;

private:
    struct Change;

    DaemonCore &m_core;
    ConfigService &m_config;

    void readRows(const std::shared_ptr<Change> &change);
    void write(const std::shared_ptr<Change> &change);
    void applyHere(const Change &change);
    void readBack(const std::shared_ptr<Change> &change);
    void finish(const std::shared_ptr<Change> &change, std::optional<ErrorKind> error, const std::string &reason);

public:
    ConfigWriter(DaemonCore &core, ConfigService &config);

    /**
     * Commits what @p edit makes of the newest document.
     * @param expectedVersion when given, the change fails if another version is current
     */
    void commit(Edit edit, std::optional<std::int64_t> expectedVersion, DoneHandler handler);
};

}
