#include "drivers/httphead.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace citronspar
{

namespace
{

constexpr std::array<std::string_view, 9> hopByHopNames
    = {"Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
       "Trailer",    "Transfer-Encoding", "Upgrade"};

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

template<typename Visitor> void forEachToken(std::string_view list, const Visitor &visit)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        const std::string_view token = trim(list.substr(0, comma));
        if (!token.empty()) {
            visit(token);
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
}

std::string serializeFields(std::string text, const std::vector<HttpHead::Field> &fields)
{
    for (const HttpHead::Field &field : fields) {
        text += field.first;
        text += ": ";
        text += field.second;
        text += "\r\n";
    }
    return text;
}

}

bool equalIgnoringCase(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && std::equal(first.begin(), first.end(), second.begin(), [](unsigned char a, unsigned char b) {
               return std::tolower(a) == std::tolower(b);
           });
}

const std::string *HttpHead::find(std::string_view name) const
{
    for (const Field &field : fields) {
        if (equalIgnoringCase(field.first, name)) {
            return &field.second;
        }
    }
    return nullptr;
}

std::string HttpHead::value(std::string_view name) const
{
    const std::string *found = find(name);
    return found == nullptr ? std::string() : *found;
}

bool HttpHead::hasToken(std::string_view name, std::string_view token) const
{
    bool isFound = false;
    for (const Field &field : fields) {
        if (equalIgnoringCase(field.first, name)) {
            forEachToken(field.second, [&](std::string_view candidate) {
                isFound = isFound || equalIgnoringCase(candidate, token);
            });
        }
    }
    return isFound;
}

void HttpHead::remove(std::string_view name)
{
    fields.erase(std::remove_if(fields.begin(), fields.end(),
                                [name](const Field &field) {
                                    return equalIgnoringCase(field.first, name);
                                }),
                 fields.end());
}

void HttpHead::set(std::string_view name, std::string value)
{
    remove(name);
    fields.emplace_back(std::string(name), std::move(value));
}

void HttpHead::removeHopByHop()
{
    std::vector<std::string> connectionOptions;
    for (const Field &field : fields) {
        if (equalIgnoringCase(field.first, "Connection")) {
            forEachToken(field.second, [&](std::string_view token) {
                connectionOptions.emplace_back(token);
            });
        }
    }
    for (const std::string &name : connectionOptions) {
        remove(name);
    }
    for (const std::string_view name : hopByHopNames) {
        remove(name);
    }
    remove("Content-Length");
}

std::string HttpHead::serializeRequest() const
{
    return serializeFields(method + " " + target + " HTTP/1.1\r\n", fields);
}

std::string HttpHead::serializeResponse() const
{
    return serializeFields("HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n", fields);
}

}
