#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronspar
{

/** The start line and the headers of an HTTP/1.1 message, in the order in which they came. */
struct HttpHead
{
    using Field = std::pair<std::string, std::string>;

    /** Of a request. */
    std::string method;
    std::string target;

    /** Of a response. */
    int status = 0;
    std::string reason;

    std::vector<Field> fields;

    /** The value of the first header @p name, in any case; nullptr when there is none. */
    const std::string *find(std::string_view name) const;

    /** The same, with an empty text when there is none. */
    std::string value(std::string_view name) const;

    /** Whether the list in the header @p name has @p token. */
    bool hasToken(std::string_view name, std::string_view token) const;

    /** Drops all headers @p name and adds one. */
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /** Drops the headers that concern one connection only (RFC 9110, 7.6.1), and the framing. */
    void removeHopByHop();

    /** The bytes of the head as a request or response, without the empty line. */
    std::string serializeRequest() const;
    std::string serializeResponse() const;
};

/** Whether two header names or tokens are the same but for case. */
bool equalIgnoringCase(std::string_view first, std::string_view second);

}
