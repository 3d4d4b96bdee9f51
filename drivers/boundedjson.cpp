#include "drivers/boundedjson.h"

namespace citronspar
{

using nlohmann::json;

json parseBoundedJson(const std::string &text, std::size_t maxValues)
{
    std::size_t values = 0;
    // Values for which false is returned are skipped and take no memory.
    const json::parser_callback_t countValue = [&values, maxValues](int, json::parse_event_t event, json &) {
        const bool isEnd = event == json::parse_event_t::object_end || event == json::parse_event_t::array_end;
        values += isEnd ? 0 : 1;
        return values <= maxValues;
    };
    json document = json::parse(text, countValue, false);
    return values <= maxValues ? document : json(json::value_t::discarded);
}

}
