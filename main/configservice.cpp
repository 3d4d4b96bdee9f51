#include "main/configservice.h"

#include "core/hash.h"
#include "drivers/log.h"
#include "servers/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronspar
{

const char *const fleetVersionKey = "fleet/version";
const char *const fleetDocumentKey = "fleet/document";

namespace
{

const log4cxx::LoggerPtr logger = componentLogger("config");

constexpr Duration pollInterval = std::chrono::milliseconds(400);

// Above the age that a proof normally reaches on its way through two relays, each with its own poll interval.
constexpr Duration staleProofAge = std::chrono::milliseconds(1300);
constexpr std::size_t parentCount = 2;

// About ten minutes of patches at 11,000 changes a day.
constexpr std::size_t historyCapacity = 64;
constexpr Duration documentFetchDelay = std::chrono::milliseconds(600);
constexpr std::int64_t noProofAge = -1;

}

ConfigService::ConfigService(DaemonCore &core, PeerLinks &links)
    : m_core(core)
    , m_links(links)
    , m_guard(FreshnessGuard::Settings(), core.settings().daemon, Loop::now())
    , m_state(std::make_shared<FleetState>())
    , m_history(historyCapacity)
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handleMessage(origin, body);
    });
}

void ConfigService::start()
{
    poll(Loop::now());
    m_core.timers().subscribe(pollInterval, [this](TimePoint) {
        poll(Loop::now());
    });
}

void ConfigService::onChange(ChangeHandler handler)
{
    m_changeHandlers.push_back(std::move(handler));
    if (m_state->version() > 0) {
        m_changeHandlers.back()(*m_state);
    }
}

void ConfigService::poll(TimePoint now)
{
    if (isRosterMember() || isProofStale(now)) {
        queryTable(now);
    }
    queryPeers(now);
    fetchIfBehind(now);
}

void ConfigService::fetchIfBehind(TimePoint now)
{
    if (m_guard.highestKnownVersion() <= m_guard.appliedVersion()) {
        m_behindSince = timeNever;
        return;
    }
    // Peers normally send the missing patches. The whole document is read from the table if no version is
    // applied yet, or if the patches have not arrived after documentFetchDelay.
    if (m_behindSince == timeNever) {
        m_behindSince = now;
    }
    if (m_guard.appliedVersion() == 0 || now - m_behindSince >= documentFetchDelay) {
        fetchDocument();
    }
}

bool ConfigService::isRosterMember() const
{
    for (const std::vector<std::string> &members : {m_state->roster().members, m_state->roster().previousMembers}) {
        if (std::find(members.begin(), members.end(), m_core.settings().daemon) != members.end()) {
            return true;
        }
    }
    return false;
}

bool ConfigService::isProofStale(TimePoint now) const
{
    const std::optional<TimePoint> proof = m_guard.proofTime(now);
    return !proof.has_value() || now - *proof > staleProofAge;
}

void ConfigService::queryTable(TimePoint now)
{
    if (m_isTableReadPending) {
        return;
    }
    m_isTableReadPending = true;
    const FreshnessGuard::QueryId query = m_guard.registerQuery(now);
    m_core.table().read(fleetVersionKey, [this, query](const std::optional<TableRow> &row) {
        m_isTableReadPending = false;
        if (!row.has_value() || !row->value.is_object()) {
            return;
        }
        m_guard.handleTableAnswer(query, row->value.value("version", std::int64_t(0)));
        fetchIfBehind(Loop::now());
    });
}

std::string ConfigService::addressOf(const std::string &daemon) const
{
    const auto found = m_state->daemons().find(daemon);
    if (found != m_state->daemons().end()) {
        return found->second;
    }
    const Endpoint *endpoint = m_state->findEndpoint(daemon);
    return endpoint != nullptr ? endpoint->address : std::string();
}

std::vector<std::string> ConfigService::parents() const
{
    std::vector<std::string> candidates;
    if (m_core.settings().role == Settings::Role::Entry) {
        candidates = m_state->roster().members;
    } else {
        for (const std::pair<const std::string, std::string> &daemon : m_state->daemons()) {
            candidates.push_back(daemon.first);
        }
    }
    std::vector<std::uint64_t> hashes;
    for (const std::string &candidate : candidates) {
        hashes.push_back(hashBytes(candidate, 0));
    }
    std::vector<std::string> chosen;
    for (const std::size_t index : rendezvousOrder(hashBytes(m_core.settings().daemon, 0), hashes)) {
        if (chosen.size() < parentCount) {
            chosen.push_back(candidates[index]);
        }
    }
    return chosen;
}

std::vector<std::string> ConfigService::peersToQuery(TimePoint now) const
{
    if (!isRosterMember() && !isProofStale(now)) {
        return parents();
    }
    std::vector<std::string> all = m_state->roster().members;
    all.insert(all.end(), m_state->roster().previousMembers.begin(), m_state->roster().previousMembers.end());
    return all;
}

void ConfigService::queryPeers(TimePoint now)
{
    wire::FreshnessQuestion question;
    question.__set_questionId(static_cast<std::int64_t>(m_guard.registerQuery(now)));
    wire::Body body;
    body.__set_freshnessQuestion(question);
    std::set<std::string> addresses;
    if (m_state->version() == 0) {
        addresses.insert(m_core.settings().seeds.begin(), m_core.settings().seeds.end());
    }
    for (const std::string &peer : peersToQuery(now)) {
        addresses.insert(peer == m_core.settings().daemon ? std::string() : addressOf(peer));
    }
    addresses.erase(std::string());
    for (const std::string &address : addresses) {
        m_links.sendTo(address, body);
    }
}

void ConfigService::fetchDocument()
{
    if (m_isDocumentReadPending) {
        return;
    }
    m_isDocumentReadPending = true;
    m_core.table().read(fleetDocumentKey, [this](const std::optional<TableRow> &row) {
        m_isDocumentReadPending = false;
        if (row.has_value() && row->value.is_object()) {
            apply(row->value.value("version", std::int64_t(0)), row->value.value("document", nlohmann::json::object()));
        }
    });
}

bool ConfigService::apply(std::int64_t version, const nlohmann::json &document)
{
    if (version <= m_state->version()) {
        return true;
    }
    std::shared_ptr<const FleetState> state = m_reader.read(version, document);
    if (state == nullptr) {
        LOG4CXX_ERROR(logger, "configuration version " << version << " is invalid: " << m_reader.lastError());
        return false;
    }
    install(version, document, std::move(state));
    return true;
}

bool ConfigService::applyPatch(std::int64_t version, const nlohmann::json &patch)
{
    if (version != m_state->version() + 1) {
        return version <= m_state->version();
    }
    nlohmann::json document;
    try {
        document = m_document.patch(patch);
    } catch (const nlohmann::json::exception &error) {
        LOG4CXX_ERROR(logger, "can't apply the patch that produces configuration version " << version << ": " << error.what());
        return false;
    }
    std::shared_ptr<const FleetState> state = m_reader.readPrevalidated(version, document);
    if (state == nullptr) {
        LOG4CXX_ERROR(logger, "configuration version " << version << " is invalid: " << m_reader.lastError());
        return false;
    }
    m_history.add(ConfigPatch{version, patch.dump()});
    install(version, document, std::move(state));
    return true;
}

void ConfigService::install(std::int64_t version, const nlohmann::json &document, std::shared_ptr<const FleetState> state)
{
    m_state = std::move(state);
    m_document = document;
    m_guard.setAppliedVersion(version, m_state->roster());
    LOG4CXX_INFO(logger, "applied configuration version " << version);
    m_core.record("config", "applied version " + std::to_string(version));
    for (const ChangeHandler &handler : m_changeHandlers) {
        handler(*m_state);
    }
}

void ConfigService::handleMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.freshnessQuestion) {
        answerFreshness(origin, body.freshnessQuestion);
    } else if (body.__isset.freshnessAnswer) {
        const wire::FreshnessAnswer &answer = body.freshnessAnswer;
        const FreshnessGuard::QueryId query = static_cast<FreshnessGuard::QueryId>(answer.questionId);
        m_guard.handleMemberAnswer(query, origin.sender, answer.version, answer.canVouch);
        if (answer.proofAgeMicroseconds >= 0) {
            m_guard.handleRelayAnswer(query, answer.version, Duration(answer.proofAgeMicroseconds));
        }
        if (answer.version > m_guard.appliedVersion()) {
            requestPatches(origin.link);
        }
    } else if (body.__isset.configFetch) {
        sendPatches(origin.link, body.configFetch.haveVersion);
    } else if (body.__isset.configPush) {
        handlePush(origin, body.configPush);
    }
}

void ConfigService::requestPatches(PeerNetwork::LinkId link)
{
    wire::ConfigFetch fetch;
    fetch.__set_haveVersion(m_state->version());
    wire::Body body;
    body.__set_configFetch(fetch);
    m_links.send(link, body);
}

void ConfigService::handlePush(const MessageOrigin &origin, const wire::ConfigPush &push)
{
    if (push.version <= m_state->version()) {
        return;
    }
    const nlohmann::json content = nlohmann::json::parse(push.text, nullptr, false);
    if (push.baseVersion == 0 && content.is_object()) {
        apply(push.version, content);
    } else if (push.baseVersion == m_state->version() && content.is_array()) {
        applyPatch(push.version, content);
    } else {
        requestPatches(origin.link);
    }
}

void ConfigService::answerFreshness(const MessageOrigin &origin, const wire::FreshnessQuestion &question)
{
    wire::FreshnessAnswer answer;
    answer.__set_questionId(question.questionId);
    answer.__set_version(m_guard.appliedVersion());
    answer.__set_canVouch(m_guard.canConfirm());
    const TimePoint now = Loop::now();
    const std::optional<TimePoint> proof = m_guard.proofTime(now);
    answer.__set_proofAgeMicroseconds(proof.has_value() ? (now - *proof).count() : noProofAge);
    wire::Body body;
    body.__set_freshnessAnswer(answer);
    m_links.send(origin.link, body);
}

void ConfigService::sendPush(PeerNetwork::LinkId link, std::int64_t version, std::int64_t baseVersion, const std::string &text)
{
    wire::ConfigPush push;
    push.__set_version(version);
    push.__set_baseVersion(baseVersion);
    push.__set_text(text);
    wire::Body body;
    body.__set_configPush(push);
    m_links.send(link, body);
}

void ConfigService::sendPatches(PeerNetwork::LinkId link, std::int64_t haveVersion)
{
    if (m_state->version() == 0) {
        return;
    }
    const std::optional<std::vector<ConfigPatch>> patches = m_history.since(haveVersion);
    if (!patches.has_value()) {
        sendPush(link, m_state->version(), 0, m_document.dump());
        return;
    }
    for (const ConfigPatch &patch : *patches) {
        sendPush(link, patch.version, patch.version - 1, patch.text);
    }
}

void ConfigService::pushToRoster()
{
    for (const std::string &member : m_state->roster().members) {
        const std::string address = member == m_core.settings().daemon ? std::string() : addressOf(member);
        if (!address.empty()) {
            sendPatches(m_links.linkTo(address), m_state->version() - 1);
        }
    }
    queryPeers(Loop::now());
}

const FleetState &ConfigService::state() const
{
    return *m_state;
}

std::shared_ptr<const FleetState> ConfigService::sharedState() const
{
    return m_state;
}

const nlohmann::json &ConfigService::document() const
{
    return m_document;
}

bool ConfigService::isFresh() const
{
    return m_guard.isFresh(Loop::now());
}

bool ConfigService::isAccepted() const
{
    return m_guard.isAccepted(Loop::now());
}

std::vector<std::string> ConfigService::unconfirmedMembers() const
{
    return m_guard.unconfirmedMembers(Loop::now());
}

}
