#include "platform/requestcodec.h"

#include <catch2/catch.hpp>

using namespace citronspar;
using namespace citronspar::platform;

namespace
{

HttpHead callerHead()
{
    HttpHead head;
    head.method = "POST";
    head.target = "/p/x?q=1";
    head.fields = {{"Host", "one.example:80"},
                   {"Citronspar-Request-Id", "9c41"},
                   {"Citronspar-Model", "m"},
                   {"Citronspar-Token-Counts", "1460,80"},
                   {"Citronspar-Prompt-Prefix", "5c1e:800, 91bd:410"},
                   {"Citronspar-Deadline-Ms", "6000"},
                   {"authorization", "Bearer secret"},
                   {"X-Custom", "kept"}};
    return head;
}

}

TEST_CASE("[RequestCodec] A caller's request head is decoded")
{
    const CallerRequest request = decodeCallerRequest(callerHead());
    CHECK(request.id == "9c41");
    CHECK(request.host == "one.example");
    CHECK(request.path == "/p/x");
    CHECK(request.key == "secret");
    CHECK(request.deadline == std::chrono::seconds(6));
    CHECK(request.promptTokens == 1460);
    CHECK(request.maxOutputTokens == 80);
    REQUIRE(request.parts.size() == 2);
    CHECK(request.parts[1].id == "91bd");
    CHECK(request.parts[1].tokens == 410);
}

TEST_CASE("[RequestCodec] The API key and reserved headers of the caller do not reach the endpoint")
{
    HttpHead head = callerHead();
    head.fields.emplace_back("citronspar-tenant", "another");
    head.fields.emplace_back("Citronspar-Hold", "h1");
    head.fields.emplace_back("Citronspar-Pin-Ms", "4000");
    head.fields.emplace_back("Citronspar-Kv-Backup", "1.2.3.4:5");
    head.fields.emplace_back("Kv-From", "1.2.3.4:5/h");
    head.fields.emplace_back("Citronspar-Cache-Salt", "theirs");
    head.fields.emplace_back("Connection", "close, X-Hop");
    head.fields.emplace_back("X-Hop", "1");
    ForwardHeaders forwardHeaders;
    forwardHeaders.hasDeadline = true;
    forwardHeaders.deadline = std::chrono::milliseconds(1234);
    forwardHeaders.instance = "i-1";
    forwardHeaders.account = "mine";
    const HttpHead forwarded = forwardHead(head, forwardHeaders);
    for (const char *name : {"Authorization", "Citronspar-Hold", "Citronspar-Pin-Ms", "Citronspar-Kv-Backup", "Kv-From",
                             "Citronspar-Cache-Salt", "Connection", "X-Hop"}) {
        CHECK(forwarded.find(name) == nullptr);
    }
    CHECK(forwarded.value("Citronspar-Tenant") == "mine");
    CHECK(forwarded.value("Citronspar-Deadline-Ms") == "1234");
    CHECK(forwarded.value("Citronspar-Expect-Instance") == "i-1");
    CHECK(forwarded.value("X-Custom") == "kept");
    CHECK(forwarded.target == "/p/x?q=1");
}

TEST_CASE("[RequestCodec] Malformed headers of a caller are ignored")
{
    HttpHead head = callerHead();
    head.set("Citronspar-Deadline-Ms", "soon");
    head.set("Citronspar-Token-Counts", "12");
    head.set("Citronspar-Prompt-Prefix", "a:1,b");
    head.set("Authorization", "Basic xyz");
    const CallerRequest request = decodeCallerRequest(head);
    CHECK_FALSE(request.deadline.has_value());
    CHECK_FALSE(request.hasTokenCounts);
    CHECK(request.parts.empty());
    CHECK_FALSE(request.key.has_value());
}

TEST_CASE("[RequestCodec] Only the not-run header or status 421 means that a request was not run")
{
    HttpHead head;
    head.status = 503;
    CHECK_FALSE(decodeEndpointResponse(head).isNotRun);
    head.set("Citronspar-Not-Run", "1");
    CHECK(decodeEndpointResponse(head).isNotRun);
    HttpHead misdirected;
    misdirected.status = 421;
    CHECK(decodeEndpointResponse(misdirected).isNotRun);
}

TEST_CASE("[RequestCodec] The stated request limit is read from a response with any status; what is no limit states none")
{
    const auto decode = [](const std::vector<std::string> &values, int status) {
        HttpHead head;
        head.status = status;
        for (const std::string &value : values) {
            head.fields.emplace_back("server-limit", value);
        }
        return decodeEndpointResponse(head);
    };
    CHECK(decode({"1.5"}, 200).requestLimit == 1.5);
    CHECK(decode({" .25 "}, 503).requestLimit == 0.25);
    CHECK(decode({"0"}, 500).requestLimit == 0.0);
    CHECK(decode({"1e300"}, 200).requestLimit == 1e300);
    CHECK_FALSE(decode({}, 200).requestLimit.has_value());
    CHECK_FALSE(decode({}, 200).isLimitMalformed);
    for (const char *malformed : {"", "many", "-1", "nan", "inf", "1 2", "1,5"}) {
        INFO(malformed);
        CHECK_FALSE(decode({malformed}, 200).requestLimit.has_value());
        CHECK(decode({malformed}, 200).isLimitMalformed);
    }
    // Of two values the lower one protects the endpoint.
    CHECK(decode({"3", "2"}, 200).requestLimit == 2.0);
}

TEST_CASE("[RequestCodec] No field that frames the caller's request or controls its connection reaches the endpoint")
{
    HttpHead head = callerHead();
    head.fields.emplace_back("transfer-encoding", "chunked");
    head.fields.emplace_back("Content-Length", "5");
    head.fields.emplace_back("CONTENT-LENGTH", "5");
    head.fields.emplace_back("TE", "trailers, gzip");
    head.fields.emplace_back("Trailer", "X-Sum");
    head.fields.emplace_back("Keep-Alive", "timeout=5");
    head.fields.emplace_back("Upgrade", "h2c");
    head.fields.emplace_back("Expect", "100-continue");
    head.fields.emplace_back("Connection", "keep-alive");
    head.fields.emplace_back("connection", "upgrade ,\tX-Hop,, Content-Length");
    head.fields.emplace_back("x-hop", "1");
    const HttpHead forwarded = forwardHead(head, ForwardHeaders());
    for (const char *name :
         {"Transfer-Encoding", "Content-Length", "TE", "Trailer", "Keep-Alive", "Upgrade", "Expect", "Connection", "X-Hop"}) {
        INFO(name);
        CHECK(forwarded.find(name) == nullptr);
    }
    CHECK(forwarded.value("X-Custom") == "kept");
}
