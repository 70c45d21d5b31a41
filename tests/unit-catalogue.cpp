#include <gtest/gtest.h>

#include "tarragonspar/config/document.hpp"

namespace {

using namespace tarragonspar::config;

route make_route(const std::string& name, const std::string& prefix) {
    return {.name = name,
            .host = "a.example",
            .path_prefix = prefix,
            .timeout = std::chrono::milliseconds{1'000},
            .services = {{.name = "s", .weight = 1}}};
}

catalogue make_catalogue() {
    return {.number = {3},
            .routes = {make_route("short", "/x/"), make_route("long", "/x/y/")},
            .services = {{.name = "s"}},
            .workspaces = {{.name = "w", .keys = {"k1", "k2"}}}};
}

} // namespace

TEST(Catalogue, TheLongestPrefixWins) {
    const catalogue_index index(make_catalogue());
    EXPECT_EQ(index.find_route("a.example", "/x/y/z")->name, "long");
    EXPECT_EQ(index.find_route("a.example", "/x/y/?q=/x/y/z/")->name, "long");
    EXPECT_EQ(index.find_route("a.example:80", "/x/yy/z")->name, "short");
    EXPECT_EQ(index.find_route("a.example", "/x"), nullptr);
    EXPECT_EQ(index.find_route("b.example", "/x/y/z"), nullptr);
    EXPECT_EQ(index.find_route("a.example", ""), nullptr);
}

TEST(Catalogue, FindsTheWorkspaceOfAKey) {
    const catalogue_index index(make_catalogue());
    EXPECT_EQ(index.find_workspace("k2")->name, "w");
    EXPECT_EQ(index.find_workspace("k3"), nullptr);
}

TEST(Catalogue, AValidCatalogueHasNoErrors) {
    EXPECT_TRUE(validate(make_catalogue()).empty());
}

TEST(Catalogue, EachErrorIsReported) {
    auto unknown_service = make_catalogue();
    unknown_service.routes[0].services[0].name = "t";
    EXPECT_EQ(validate(unknown_service).size(), 1U);
    auto same_address = make_catalogue();
    same_address.routes[1].path_prefix = "/x/";
    EXPECT_EQ(validate(same_address).size(), 1U);
    auto no_weight = make_catalogue();
    no_weight.routes[0].services[0].weight = 0;
    EXPECT_EQ(validate(no_weight).size(), 1U);
    auto no_timeout = make_catalogue();
    no_timeout.routes[0].timeout = {};
    EXPECT_EQ(validate(no_timeout).size(), 1U);
    auto shared_key = make_catalogue();
    shared_key.workspaces.push_back({.name = "v", .keys = {"k1"}});
    EXPECT_EQ(validate(shared_key).size(), 1U);
    auto open_prefix = make_catalogue();
    open_prefix.routes[0].path_prefix = "/x";
    EXPECT_EQ(validate(open_prefix).size(), 1U);
}

TEST(Catalogue, ServicesAreChosenByWeight) {
    auto weighted_route = make_route("r", "/");
    weighted_route.services = {{.name = "a", .weight = 90}, {.name = "b", .weight = 10}};
    int second = 0;
    for (std::uint64_t random_value = 0; random_value < 1'000; ++random_value) {
        second += choose_service(weighted_route, random_value) == "b" ? 1 : 0;
    }
    EXPECT_EQ(second, 100);
}

TEST(Catalogue, OnlyResumableStreamsAndSafeRequestsMayRunTwice) {
    auto item = make_route("r", "/");
    item.kind = request_kind::safe;
    EXPECT_TRUE(is_idempotent(item));
    item.kind = request_kind::unsafe;
    item.resumable = true;
    EXPECT_FALSE(is_idempotent(item));
    item.kind = request_kind::streaming;
    EXPECT_TRUE(is_idempotent(item));
    item.resumable = false;
    EXPECT_FALSE(is_idempotent(item));
}

TEST(Document, TheHighestNumberStaysInForce) {
    document current;
    EXPECT_TRUE(apply(current, {.number = {4}, .content = "four"}).accepted);
    EXPECT_FALSE(apply(current, {.number = {3}, .content = "three"}).accepted);
    const auto resent = apply(current, {.number = {4}, .content = "other"});
    EXPECT_FALSE(resent.accepted);
    EXPECT_EQ(resent.in_force, document_number{4});
    EXPECT_EQ(current.content, "four");
}
