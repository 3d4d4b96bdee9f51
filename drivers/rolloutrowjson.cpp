#include "drivers/rolloutrowjson.h"

#include "drivers/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace citronspar
{

namespace
{

using nlohmann::json;

constexpr std::array<RolloutPhase, 5> phases
    = {RolloutPhase::Canary, RolloutPhase::Raising, RolloutPhase::Closing, RolloutPhase::Completed, RolloutPhase::Reverted};

constexpr std::int64_t largestNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t largestMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(maxDuration).count();

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::optional<Duration> timeField(const json &document, const char *name)
{
    const std::optional<std::int64_t> time = integerField(document, name, -largestMilliseconds, largestMilliseconds);
    return time.has_value() ? std::optional<Duration>(std::chrono::milliseconds(*time)) : std::nullopt;
}

bool isText(const json &document, const char *name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string();
}

std::optional<RolloutPhase> phaseField(const json &document, const char *name)
{
    if (!isText(document, name)) {
        return std::nullopt;
    }
    const auto found = std::find_if(phases.begin(), phases.end(), [&](RolloutPhase phase) {
        return document.at(name) == rolloutPhaseName(phase);
    });
    return found == phases.end() ? std::nullopt : std::optional<RolloutPhase>(*found);
}

bool hasTexts(const json &document)
{
    return document.is_object() && isText(document, "to") && isText(document, "holder") && isText(document, "holderAddress")
        && isText(document, "reason");
}

std::optional<std::vector<std::string>> textsField(const json &document, const char *name)
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> texts;
    for (const json &text : *found) {
        if (!text.is_string()) {
            return std::nullopt;
        }
        texts.push_back(text.get<std::string>());
    }
    return texts;
}

json encodeEarlier(const std::vector<EarlierExposure> &earlier)
{
    json list = json::array();
    for (const EarlierExposure &exposure : earlier) {
        list.push_back({{"to", exposure.to},
                        {"exposed", exposure.exposed},
                        {"counted", exposure.counted},
                        {"deadlineMs", milliseconds(exposure.deadline)}});
    }
    return list;
}

std::optional<std::vector<EarlierExposure>> earlierField(const json &document)
{
    const auto found = document.find("earlier");
    if (found == document.end() || !found->is_array()) {
        return std::nullopt;
    }
    std::vector<EarlierExposure> earlier;
    for (const json &entry : *found) {
        if (!entry.is_object() || !isText(entry, "to")) {
            return std::nullopt;
        }
        const std::optional<std::int64_t> exposed = integerField(entry, "exposed", 0, largestNumber);
        const std::optional<std::int64_t> counted = integerField(entry, "counted", 0, largestNumber);
        const std::optional<Duration> deadline = timeField(entry, "deadlineMs");
        if (!exposed.has_value() || !counted.has_value() || !deadline.has_value()) {
            return std::nullopt;
        }
        earlier.push_back(EarlierExposure{entry.at("to").get<std::string>(), *exposed, *counted, *deadline});
    }
    return earlier;
}

}

const char *rolloutPhaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Canary:
        return "canary";
    case RolloutPhase::Raising:
        return "raising";
    case RolloutPhase::Closing:
        return "closing";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::Reverted:
        return "reverted";
    }
    return "";
}

std::string encodeRolloutRow(const RolloutRow &row)
{
    return json({{"order", row.order},
                 {"era", row.era},
                 {"to", row.to},
                 {"from", row.from},
                 {"reverted", row.reverted},
                 {"phase", rolloutPhaseName(row.phase)},
                 {"holder", row.holder},
                 {"holderAddress", row.holderAddress},
                 {"term", row.term},
                 {"begunMs", milliseconds(row.begun)},
                 {"deadlineMs", milliseconds(row.deadline)},
                 {"exposed", row.exposed},
                 {"counted", row.counted},
                 {"earlier", encodeEarlier(row.earlier)},
                 {"reason", row.reason}})
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RolloutRow> decodeRolloutRow(const std::string &text)
{
    const json document = json::parse(text, nullptr, false);
    if (!hasTexts(document)) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> order = integerField(document, "order", 0, largestNumber);
    const std::optional<std::int64_t> era = integerField(document, "era", 0, largestNumber);
    const std::optional<std::int64_t> term = integerField(document, "term", 0, largestNumber);
    const std::optional<std::int64_t> exposed = integerField(document, "exposed", 0, largestNumber);
    const std::optional<std::int64_t> counted = integerField(document, "counted", 0, largestNumber);
    const std::optional<Duration> begun = timeField(document, "begunMs");
    const std::optional<Duration> deadline = timeField(document, "deadlineMs");
    const std::optional<RolloutPhase> phase = phaseField(document, "phase");
    const std::optional<std::vector<std::string>> from = textsField(document, "from");
    const std::optional<std::vector<std::string>> reverted = textsField(document, "reverted");
    const std::optional<std::vector<EarlierExposure>> earlier = earlierField(document);
    const bool hasNumbers = order.has_value() && era.has_value() && term.has_value() && exposed.has_value() && counted.has_value();
    const bool hasTimes = begun.has_value() && deadline.has_value();
    const bool hasLists = from.has_value() && reverted.has_value() && earlier.has_value();
    if (!hasNumbers || !hasTimes || !hasLists || !phase.has_value()) {
        return std::nullopt;
    }
    RolloutRow row;
    row.order = *order;
    row.era = *era;
    row.to = document.at("to").get<std::string>();
    row.from = *from;
    row.reverted = *reverted;
    row.phase = *phase;
    row.holder = document.at("holder").get<std::string>();
    row.holderAddress = document.at("holderAddress").get<std::string>();
    row.term = *term;
    row.begun = *begun;
    row.deadline = *deadline;
    row.exposed = *exposed;
    row.counted = *counted;
    row.earlier = *earlier;
    row.reason = document.at("reason").get<std::string>();
    return row;
}

}
