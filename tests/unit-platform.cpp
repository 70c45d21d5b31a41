#include <gtest/gtest.h>

#include "platform_dialect.hpp"
#include "tarragonspar/http/detail/session.hpp"

namespace {

using namespace tarragonspar;
using platform::platform_dialect;

http::request_message make_request(const http::header_list& headers) {
    http::request_message request{http::beast_http::verb::post, "/a/b", 11};
    for (const auto& [name, value] : headers) {
        request.insert(name, value);
    }
    return request;
}

std::string find(const http::header_list& list, const std::string& name) {
    for (const auto& [known, value] : list) {
        if (known == name) {
            return value;
        }
    }
    return "(none)";
}

constexpr const char* manifest = R"({"version":7,
 "routes":[{"name":"r","host":"A.example","path_prefix":"/p/","kind":"streaming","timeout_ms":8000,
   "target_latency_ms":1000,"priority":1,"traffic_split":[{"service":"s","weight":90},
   {"service":"t","weight":10}],"max_attempts":2,"resumable":true},
  {"name":"q","host":"a.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":500,"service":"t"}],
 "services":[{"name":"s","max_connections":360,"engine":{"slots":4,"stride":6}},{"name":"t"}],
 "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":30,
   "idle_timeout_ms":40},
 "tenants":[{"name":"w","api_keys":["k"],"priority":1,"unit":"tokens","plain_tokens":200,
   "rate_per_s":100,"burst":50}]})";

} // namespace

TEST(Platform, ReadsARequest) {
    const platform_dialect dialect;
    const auto read = dialect.read_request(make_request({{"Host", "A.Example"},
                                                         {"Attempt-Id", "9c41"},
                                                         {"Key", "secret"},
                                                         {"Deadline-Ms", "8000"},
                                                         {"Token-Usage", "1460,80"},
                                                         {"Length-Hint", "60"},
                                                         {"Prompt-Prefix", "5c1e07a2:800,91bd:410"},
                                                         {"Last-Event-Id", "12"}}));
    EXPECT_EQ(read.error, "");
    EXPECT_EQ(read.host, "a.example");
    EXPECT_EQ(read.name, "9c41");
    EXPECT_EQ(read.workspace_key, "secret");
    EXPECT_EQ(read.time_left, std::chrono::milliseconds{8'000});
    EXPECT_EQ(read.prompt, token_count{1460});
    EXPECT_EQ(read.max_output, token_count{80});
    EXPECT_EQ(read.expected_output, token_count{60});
    ASSERT_EQ(read.parts.size(), 2U);
    EXPECT_EQ(read.parts[1].key, 0x91bdU);
    EXPECT_EQ(read.resume_after, 12U);
}

TEST(Platform, DropsReservedHeadersOfCallers) {
    const platform_dialect dialect;
    const auto read = dialect.read_request(make_request({{"Host", "a"},
                                                         {"Attempt-Id", "1"},
                                                         {"Key", "secret"},
                                                         {"tenant", "forged"},
                                                         {"Expect-Instance", "forged"},
                                                         {"Hold", "h"},
                                                         {"Pin-Ms", "1"},
                                                         {"Kv-Fetch", "x"},
                                                         {"Kv-From", "x"},
                                                         {"Kv-Backup", "x"},
                                                         {"Expect-Version", "2"},
                                                         {"Model", "m"},
                                                         {"Connection", "keep-alive"},
                                                         {"X-Own", "kept"},
                                                         {"Deadline-Ms", "70"}}));
    gateway::dispatch_terms terms;
    terms.time_left = std::chrono::milliseconds{50};
    terms.server_name = "i-1";
    terms.workspace = "w";
    const auto sent = dialect.server_headers(read, terms);
    for (const auto* name : {"Key", "tenant", "Hold", "Pin-Ms", "Kv-Fetch", "Kv-From", "Kv-Backup",
                             "Expect-Version", "Last-Event-Id"}) {
        EXPECT_EQ(find(sent, name), "(none)") << name;
    }
    EXPECT_EQ(find(sent, "Tenant"), "w");
    EXPECT_EQ(find(sent, "Expect-Instance"), "i-1");
    EXPECT_EQ(find(sent, "Deadline-Ms"), "50");
    EXPECT_EQ(find(sent, "Attempt-Id"), "1");
    EXPECT_EQ(find(sent, "Model"), "m");
    EXPECT_EQ(find(sent, "X-Own"), "kept");
    EXPECT_EQ(find(sent, "Host"), "a");
}

TEST(Platform, RejectsDuplicatesOfSingleHeaders) {
    const platform_dialect dialect;
    for (const auto* name : {"Attempt-Id", "Key", "Deadline-Ms", "Token-Usage"}) {
        const auto read = dialect.read_request(
            make_request({{"Host", "a"}, {"Attempt-Id", "1"}, {name, "2"}, {name, "3"}}));
        EXPECT_NE(read.error, "") << name;
    }
    EXPECT_NE(dialect.read_request(make_request({{"Host", "a"}})).error, "");
}

TEST(Platform, ReadsAManifest) {
    const auto read = platform::read_manifest(manifest);
    ASSERT_TRUE(read.errors.empty()) << read.errors.front();
    const auto& value = read.value;
    EXPECT_TRUE(config::validate(value).empty());
    EXPECT_EQ(value.number, config::document_number{7});
    EXPECT_EQ(value.routes[0].host, "a.example");
    EXPECT_EQ(value.routes[0].services[1].weight, 10U);
    EXPECT_EQ(value.routes[0].max_attempts, 2U);
    EXPECT_TRUE(value.routes[0].resumable);
    EXPECT_EQ(value.routes[1].kind, config::request_kind::unsafe);
    EXPECT_EQ(value.routes[1].max_attempts, 1U);
    EXPECT_EQ(value.services[0].tokens_per_event, 6U);
    EXPECT_EQ(value.limits.max_body_bytes, 2'000U);
    EXPECT_EQ(value.workspaces[0].quota.burst, 50.0);
    EXPECT_EQ(value.workspaces[0].urgency, tier{1});
}

// A manifest without the last tenant was handled like one without tenants: any key was let in.
TEST(Platform, AnEmptyListOfTenantsStillRequiresKeys) {
    const std::string parts = R"({"version":7,"routes":[],"services":[])";
    const auto keys_required = [&](const std::string& rest) {
        const auto read = platform::read_manifest(parts + rest + "}");
        EXPECT_TRUE(read.errors.empty()) << rest;
        return read.value.keys_required;
    };
    EXPECT_TRUE(keys_required(R"(,"tenants":[])"));
    EXPECT_TRUE(keys_required(R"(,"tenants":[{"name":"w","api_keys":[]}])"));
    EXPECT_FALSE(keys_required(""));
    EXPECT_FALSE(keys_required(R"(,"tenants":null)"));
    for (const auto* odd : {"{}", "\"w\"", "0", "false"}) {
        const auto text = parts + R"(,"tenants":)" + odd + "}";
        EXPECT_FALSE(platform::read_manifest(text).errors.empty()) << odd;
    }
}

// A negative weight was read as a large positive one, and the service of a route was not looked at
// beside a split, so that such documents were acknowledged and came into force.
TEST(Platform, RejectsRoutesWhoseServicesOrWeightsAreInvalid) {
    const platform_dialect dialect;
    const auto is_accepted = [&](const std::string& members) {
        const auto read = dialect.read_catalogue(
            R"({"version":3,"services":[{"name":"s"},{"name":"t"}],"routes":[{"name":"r",)"
            R"("host":"a","path_prefix":"/","kind":"safe","timeout_ms":500,)" +
            members + "}]}");
        return read.errors.empty() && config::validate(read.value).empty();
    };
    const std::string split = R"("traffic_split":[{"service":"s","weight":1},{"service":"t",)";
    EXPECT_TRUE(is_accepted(split + R"("weight":2}])"));
    EXPECT_TRUE(is_accepted(split + R"("weight":0}])"));
    EXPECT_FALSE(is_accepted(split + R"("weight":-1}])")) << "adds up to 0";
    EXPECT_FALSE(is_accepted(split + R"("weight":-2}])"));
    EXPECT_FALSE(is_accepted(split + R"("weight":4294967296}])")) << "can't be represented";
    EXPECT_FALSE(is_accepted(split + R"("weight":"1"}])"));
    EXPECT_TRUE(is_accepted(R"("service":"t",)" + split + R"("weight":2}])"));
    EXPECT_FALSE(is_accepted(R"("service":"u",)" + split + R"("weight":2}])"))
        << "names an unknown service";
    EXPECT_TRUE(is_accepted(R"("service":"s","traffic_split":[])"));
    EXPECT_FALSE(is_accepted(R"("service":"u","traffic_split":[])"));
}

// The service that a route names beside its split gets no requests.
TEST(Platform, ASplitGoesBeforeTheServiceOfItsRoute) {
    const platform_dialect dialect;
    const auto read = dialect.read_catalogue(
        R"({"version":3,"services":[{"name":"s"},{"name":"t"}],"routes":[{"name":"r","host":"a",)"
        R"("path_prefix":"/","kind":"safe","timeout_ms":500,"service":"t",)"
        R"("traffic_split":[{"service":"s","weight":3}]}]})");
    ASSERT_TRUE(read.errors.empty());
    for (std::uint64_t draw = 0; draw < 10; ++draw) {
        EXPECT_EQ(config::choose_service(read.value.routes.at(0), draw), "s");
    }
}

TEST(Platform, RejectsATruncatedManifest) {
    const std::string complete = manifest;
    for (std::size_t size = 0; size < complete.size(); ++size) {
        EXPECT_FALSE(platform::read_manifest(complete.substr(0, size)).errors.empty()) << size;
    }
}

TEST(Platform, SkipsEntriesOfOtherWriters) {
    const auto page = platform::read_instances(
        "{\"instances\":["
        "{\"id\":\"i-1\",\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
        "\"slots\":4,\"state\":\"ready\",\"models\":[{\"name\":\"m\"}]},"
        "{\"id\":\"i-2\",\"service\":\"s\",\"address\":\"10.0.0.2:80\",\"zone\":\"a\","
        "\"slots\":4,\"state\":\"draining\"},"
        "{\"id\":\"i-3\",\"service\":\"s\",\"address\":\"10.0.0.3:80\",\"zone\":\"a\","
        "\"slots\":\"4\",\"state\":\"ready\"},"
        "{\"id\":\"i-4\",\"service\":7,\"address\":\"10.0.0.4:80\",\"zone\":\"a\",\"slots\":4,"
        "\"state\":\"ready\"},"
        "{\"id\":\"i-5\",\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"a\",\"slots\":4,"
        "\"state\":\"ready\"},"
        "{\"id\":\"i-6\",\"service\":\"s\",\"address\":\"10.0.0.6:80\",\"zone\":\"a\",\"slots\":4,"
        "\"state\":\"resting\"},"
        "{\"id\":\"\xff\xfe\",\"service\":\"s\",\"address\":\"10.0.0.7:80\",\"zone\":\"a\","
        "\"slots\":4,\"state\":\"ready\"},"
        "7,null,[]],\"next\":\"p-50\"}");
    ASSERT_TRUE(page.readable);
    ASSERT_EQ(page.servers.size(), 2U);
    EXPECT_EQ(page.servers[0].name, "i-1");
    EXPECT_EQ(page.servers[0].kind, config::server_kind::engine);
    EXPECT_EQ(page.servers[1].state, config::server_state::draining);
    EXPECT_EQ(page.next, "p-50");
    EXPECT_FALSE(platform::read_instances("{\"instances\":").readable);
}

// Instances that read such a list ended, or stopped following the list.
TEST(Platform, OneOddEntryOfTheServerListLeavesTheOthers) {
    const auto entry = [](const std::string& id, const std::string& address,
                          const std::string& slots, const std::string& more = "") {
        return R"({"id":")" + id + R"(","service":"s","address":")" + address +
               R"(","zone":"a","slots":)" + slots + R"(,"state":"ready")" + more + "}";
    };
    const auto nested = [](std::size_t depth, const std::string& open, const std::string& close) {
        std::string text;
        for (std::size_t i = 0; i < depth; ++i) {
            text += open;
        }
        text += "1";
        for (std::size_t i = 0; i < depth; ++i) {
            text += close;
        }
        return text;
    };
    constexpr std::size_t deep = 300'000;
    const std::string long_number(400, '9');
    for (const auto& odd : std::vector<std::string>{
             nested(deep, "[", "]"),
             nested(deep, "{\"a\":", "}"),
             entry("odd", "10.0.0.9:80", "4", ",\"models\":" + nested(deep, "[", "]")),
             "1e999",
             "-1e999",
             R"("\ud800")",
             R"("\x")",
             "\"\\\xff\"",
             long_number,
             entry("odd", "10.0.0.9:80", "1e999"),
             entry("odd", "10.0.0.9:80", long_number),
             entry("odd", "10.0.0.9:80", "18446744073709551616"),
             entry("odd", "10.0.0.9:80", "18446744073709551615"),
             entry("odd", "10.0.0.9:80", "4294967296"),
             entry("odd", "10.0.0.9:80", "4000000000"),

             entry("odd", "10.0.0.9:80", "-4"),
             entry("odd", "10.0.0.9:80", "4.5"),
             entry("odd", "10.0.0.9:65536", "4"),
             entry("odd", "10.0.0.9:0", "4"),
             entry("odd", "10.0.0.9:-1", "4"),
             entry("odd", "10.0.0.9:99999999999999999999", "4"),
             entry("odd", "10.0.0.900:80", "4"),
             entry("odd", "10.0.0.9", "4")}) {
        const auto page = platform::read_instances(
            R"({"instances":[)" + entry("i-1", "10.0.0.1:80", "4") + "," + odd + "," +
            entry("i-2", "10.0.0.2:80", "4") + R"(],"next":"p-1"})");
        const auto what = odd.substr(0, 120);
        ASSERT_TRUE(page.readable) << what;
        ASSERT_EQ(page.servers.size(), 2U) << what;
        EXPECT_EQ(page.servers[0].name + page.servers[1].name, "i-1i-2") << what;
        EXPECT_EQ(page.next, "p-1") << what;
    }
    const auto born = platform::read_instances(
        R"({"instances":[)" + entry("i-1", "10.0.0.1:80", "4", ",\"born\":1e999") + R"(]})");
    ASSERT_EQ(born.servers.size(), 1U) << "other fields are read where they can be";
    EXPECT_EQ(born.servers.front().started_at_ms, 0U);
}

TEST(Framing, RejectsAmbiguousRequests) {
    const auto framing_error = [](const http::header_list& headers,
                                  const std::string& target = "/a") {
        auto request = make_request(headers);
        request.target(target);
        return http::detail::find_framing_error(request);
    };
    EXPECT_EQ(framing_error({{"Host", "a"}, {"Content-Length", "3"}}), "");
    EXPECT_EQ(framing_error({{"Host", "a"}, {"Transfer-Encoding", "chunked"}}), "");
    EXPECT_NE(framing_error({{"Host", "a"}, {"Host", "b"}}), "");
    EXPECT_NE(
        framing_error({{"Host", "a"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}}),
        "");
    EXPECT_NE(framing_error({{"Host", "a"}, {"Transfer-Encoding", "gzip, chunked"}}), "");
    EXPECT_NE(framing_error(
                  {{"Host", "a"}, {"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "x"}}),
              "");
    EXPECT_NE(framing_error({{"Host", "a"}, {"Content-Length", "3"}, {"Content-Length", "4"}}), "");
    EXPECT_NE(framing_error({{"Host", "a"}}, "http://b/a"), "");
}

TEST(Platform, ReadsTheMetadataOfAnAnswer) {
    const platform::platform_dialect dialect;
    const auto metadata_of = [&](unsigned status, http::header_list headers) {
        return dialect.read_metadata({.status = status, .headers = std::move(headers)});
    };
    EXPECT_TRUE(metadata_of(200, {{"Server-Leaving", "1"}}).server_draining);
    EXPECT_TRUE(metadata_of(503, {{"server-leaving", "1"}, {"Not-Executed", "1"}}).server_draining);
    EXPECT_FALSE(metadata_of(200, {{"Connection", "close"}}).server_draining);
    const auto backoff = [&](unsigned status, const std::string& value) {
        return metadata_of(status, {{"Retry-After", value}}).requested_backoff;
    };
    EXPECT_EQ(backoff(503, "2"), duration{std::chrono::seconds{2}});
    EXPECT_EQ(backoff(503, "0.25"), duration{std::chrono::milliseconds{250}});
    EXPECT_FALSE(backoff(429, "2")) << "refers to the caller's quota";
    for (const auto* invalid :
         {"", "-1", "0", "nan", "inf", "soon", "1e", "2s", "Wed, 21 Oct 2015 07:28:00 GMT"}) {
        EXPECT_FALSE(backoff(503, invalid)) << invalid;
    }
    EXPECT_LE(to_seconds(*backoff(503, "99999999999999999999")), 1e6);
    const auto limit = [&](const std::string& value) {
        return metadata_of(200, {{"Server-Limit", value}});
    };
    EXPECT_EQ(limit("2.3").request_limit, 2.3);
    EXPECT_EQ(limit("0").request_limit, 0.0);
    EXPECT_GT(limit("99999999999999999999").request_limit, 1e6);
    EXPECT_FALSE(metadata_of(200, {}).names_request_limit);
    for (const auto* unreadable : {"", "-1", "nan", "inf", "two", "2/s", "1e", "2,3"}) {
        EXPECT_TRUE(limit(unreadable).names_request_limit) << unreadable;
        EXPECT_FALSE(limit(unreadable).request_limit) << unreadable;
    }
    const auto repeated =
        metadata_of(503, {{"Server-Limit", "4"}, {"server-limit", "1.5"}, {"Server-Limit", "x"}});
    EXPECT_EQ(repeated.request_limit, 1.5) << "the lowest is safe whichever is meant";
}
