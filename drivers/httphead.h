#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronspar
{

/** The start line and the header fields of an HTTP/1.1 message, in the order in which they were received. */
struct HttpHead
{
    using Field = std::pair<std::string, std::string>;

    /** Set in a request. */
    std::string method;
    std::string target;

    /** Set in a response. */
    int status = 0;
    std::string reason;

    std::vector<Field> fields;

    /** Returns the value of the first field called @p name, ignoring case, or nullptr if there is none. */
    const std::string *find(std::string_view name) const;

    /** Returns the value of the first field called @p name, or an empty string if there is none. */
    std::string value(std::string_view name) const;

    /** Whether the comma-separated list in the fields called @p name contains @p token, ignoring case. */
    bool hasToken(std::string_view name, std::string_view token) const;

    /** Replaces all fields called @p name by a single one. */
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /** Removes the hop-by-hop fields (RFC 9110, 7.6.1) and the framing, including Content-Length. */
    void removeHopByHop();

    /** Serializes the start line and the fields, without the empty line that ends the header section. */
    std::string serializeRequest() const;
    std::string serializeResponse() const;
};

/** Compares two field names or tokens without regard to ASCII case. */
bool equalIgnoringCase(std::string_view first, std::string_view second);

}
