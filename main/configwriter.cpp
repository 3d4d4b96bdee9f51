#include "main/configwriter.h"

#include "servers/fleetstatereader.h"

#include <memory>
#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

constexpr int maxReadBacks = 8;
constexpr Duration readBackInterval = std::chrono::milliseconds(250);

/** Checks that the roster changes in two steps, so that majorities of the old and the new roster overlap. */
std::optional<std::string> findRosterError(const json &oldDocument, const json &newDocument)
{
    const json empty = json::array();
    const json oldRoster = oldDocument.value("roster", empty);
    const json newRoster = newDocument.value("roster", empty);
    const json oldPrevious = oldDocument.value("previousRoster", empty);
    const json newPrevious = newDocument.value("previousRoster", empty);
    if (oldRoster != newRoster && !oldRoster.empty() && newPrevious != oldRoster) {
        return "a new roster needs the present one as previousRoster";
    }
    if (oldRoster != newRoster && !oldPrevious.empty()) {
        return "the last change of the roster is not finished: remove previousRoster first";
    }
    return std::nullopt;
}

}

struct ConfigWriter::Change
{
    std::string id;
    Edit edit;
    std::optional<std::int64_t> expectedVersion;
    DoneHandler handler;
    TableRow versionRow;
    TableRow documentRow;
    json document;
    json patch;
    std::int64_t version = 0;
    int readBacks = 0;
};

ConfigWriter::ConfigWriter(DaemonCore &core, ConfigService &config)
    : m_core(core)
    , m_config(config)
{
}

void ConfigWriter::commit(Edit edit, std::optional<std::int64_t> expectedVersion, DoneHandler handler)
{
    const std::shared_ptr<Change> change = std::make_shared<Change>();
    change->id = m_core.nextId().toString();
    change->edit = std::move(edit);
    change->expectedVersion = expectedVersion;
    change->handler = std::move(handler);
    readRows(change);
}

void ConfigWriter::finish(const std::shared_ptr<Change> &change, std::optional<ErrorKind> error, const std::string &reason)
{
    change->handler(ChangeResult{error, reason, change->version});
}

void ConfigWriter::readRows(const std::shared_ptr<Change> &change)
{
    m_core.table().read(fleetVersionKey, [this, change](const std::optional<TableRow> &row) {
        if (!row.has_value()) {
            finish(change, ErrorKind::TableUnavailable, "the version can't be read");
            return;
        }
        change->versionRow = *row;
        m_core.table().read(fleetDocumentKey, [this, change](const std::optional<TableRow> &document) {
            if (!document.has_value()) {
                finish(change, ErrorKind::TableUnavailable, "the document can't be read");
                return;
            }
            change->documentRow = *document;
            write(change);
        });
    });
}

void ConfigWriter::write(const std::shared_ptr<Change> &change)
{
    const bool isFirst = change->versionRow.revision == 0;
    const std::int64_t current = isFirst ? 0 : change->versionRow.value.value("version", std::int64_t(0));
    if (change->expectedVersion.has_value() && *change->expectedVersion != current) {
        change->version = current;
        finish(change, ErrorKind::VersionConflict, "the current version is " + std::to_string(current));
        return;
    }
    const json oldDocument = isFirst ? json::object() : change->documentRow.value.value("document", json::object());
    const std::optional<json> newDocument = change->edit(oldDocument);
    if (!newDocument.has_value()) {
        finish(change, ErrorKind::VersionConflict, "the change does not apply any more");
        return;
    }
    change->version = current + 1;
    FleetStateReader reader;
    if (reader.read(change->version, *newDocument) == nullptr) {
        finish(change, ErrorKind::BadRequest, reader.lastError());
        return;
    }
    const bool endsRosterChange = oldDocument.contains("previousRoster") && !newDocument->contains("previousRoster");
    if (endsRosterChange && (m_config.state().version() != current || !m_config.isAccepted())) {
        finish(change, ErrorKind::VersionConflict, "the change of the roster is not accepted yet");
        return;
    }
    const std::optional<std::string> rosterError = findRosterError(oldDocument, *newDocument);
    if (rosterError.has_value()) {
        finish(change, ErrorKind::BadRequest, *rosterError);
        return;
    }
    change->document = *newDocument;
    change->patch = json::diff(oldDocument, *newDocument);
    const TablePut versionPut{fleetVersionKey, change->versionRow.revision, json{{"version", change->version}, {"change", change->id}}};
    const TablePut documentPut{fleetDocumentKey, change->documentRow.revision,
                               json{{"version", change->version}, {"document", *newDocument}}};
    m_core.table().transact({versionPut, documentPut}, [this, change](const TableReply &reply) {
        if (reply.outcome == TableOutcome::Unknown) {
            readBack(change);
        } else if (reply.outcome == TableOutcome::Conflict) {
            finish(change, ErrorKind::VersionConflict, "another change came first");
        } else {
            applyLocally(*change);
            finish(change, std::nullopt, std::string());
        }
    });
}

void ConfigWriter::applyLocally(const Change &change)
{
    const bool isNext = m_config.state().version() + 1 == change.version;
    if (!isNext || !m_config.applyPatch(change.version, change.patch)) {
        m_config.apply(change.version, change.document);
    }
}

void ConfigWriter::readBack(const std::shared_ptr<Change> &change)
{
    if (++change->readBacks > maxReadBacks) {
        finish(change, ErrorKind::OutcomeUnknown, "the table does not answer; the change may have been committed");
        return;
    }
    m_core.timers().subscribeOnce(readBackInterval, [this, change](TimePoint) {
        m_core.table().read(fleetVersionKey, [this, change](const std::optional<TableRow> &row) {
            const bool isCommitted = row.has_value() && row->value.is_object() && row->value.value("change", std::string()) == change->id;
            if (isCommitted) {
                applyLocally(*change);
                finish(change, std::nullopt, std::string());
            } else if (row.has_value() && row->revision != change->versionRow.revision) {
                finish(change, ErrorKind::VersionConflict, "another change came first");
            } else {
                // The transaction may still be committed later, so the row is read again.
                readBack(change);
            }
        });
    });
}

}
