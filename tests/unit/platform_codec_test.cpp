#include "base64.h"
#include "config_codec.h"
#include "heartbeat_codec.h"
#include "job_codec.h"
#include "settings.h"
#include "support/expect.h"

#include <rapidcheck.h>

namespace bergamotwick::test {

/// Tests decoding and encoding of the platform's settings, identifiers and message bodies.
class PlatformCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformCodecTest);
    CPPUNIT_TEST(settingsAreParsed);
    CPPUNIT_TEST(settingsWithoutStoreAddressAreRejected);
    CPPUNIT_TEST(invalidNumbersInSettingsAreReported);
    CPPUNIT_TEST(base64RoundTrips);
    CPPUNIT_TEST(invalidBase64IsRejected);
    CPPUNIT_TEST(jobIsDecoded);
    CPPUNIT_TEST(malformedJobsAreRejected);
    CPPUNIT_TEST(numbersOutOfRangeInJobsAreRejected);
    CPPUNIT_TEST(taskNamesRoundTrip);
    CPPUNIT_TEST(malformedTaskNamesAreRejected);
    CPPUNIT_TEST(configIsDecodedAndRoutesMatch);
    CPPUNIT_TEST(illTypedConfigIsRejected);
    CPPUNIT_TEST(illTypedNestedFieldsOfConfigAreRejected);
    CPPUNIT_TEST(heartbeatIsDecoded);
    CPPUNIT_TEST(malformedHeartbeatsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void settingsAreParsed()
    {
        const platform::ParsedSettings file = platform::parseSettings("node_name=front-a-1\nip=10.1.0.1\nlisten.front=10.1.0.1:8521\ninternal_ports=7000,7015\n"
                                                                      "platform.address=10.9.0.1:8524\nbounds.stop_ms=400\nbounds.grace_s=6\nnew.field=1\n");
        CPPUNIT_ASSERT(file.missingFields_.empty());
        CPPUNIT_ASSERT(file.invalidFields_.empty());
        const platform::NodeSettings &settings = file.settings_;
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.1:8521"), settings.callersAddress_);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7000}, settings.firstInternalPort_);
        CPPUNIT_ASSERT(settings.stopLimit_ == 400ms);
        CPPUNIT_ASSERT(settings.terminationGrace_ == 6s);
    }

    void settingsWithoutStoreAddressAreRejected()
    {
        const std::vector<std::string> store{"platform.address"};
        const std::vector<std::string> all{"node_name", "ip", "internal_ports", "platform.address"};
        CPPUNIT_ASSERT(platform::parseSettings("node_name=n\nip=10.1.0.1\ninternal_ports=7000,7015\n").missingFields_ == store);
        CPPUNIT_ASSERT(platform::parseSettings("").missingFields_ == all);
    }

    void invalidNumbersInSettingsAreReported()
    {
        for (const char *value : {"x", "4x", "-1", "nan", "inf", "1e300", "9999999999999"}) {
            const platform::ParsedSettings file = platform::parseSettings(std::string("bounds.stop_ms=") + value + "\n");
            CPPUNIT_ASSERT_MESSAGE(value, file.invalidFields_ == std::vector<std::string>{"bounds.stop_ms"});
            CPPUNIT_ASSERT(file.settings_.stopLimit_ == platform::NodeSettings().stopLimit_);
        }
        for (const char *port : {"0", "70000", "-1", "x", "7000x"}) {
            CPPUNIT_ASSERT_MESSAGE(
                port, platform::parseSettings(std::string("internal_ports=") + port + "\n").invalidFields_ == std::vector<std::string>{"internal_ports"});
        }
        CPPUNIT_ASSERT(platform::parseSettings("bounds.stop_ms=\n").invalidFields_.empty());
        for (const char *size : {"0", "-1", "1.5", "1e6", "text", "99999999999999999999"}) {
            const platform::ParsedSettings file = platform::parseSettings(std::string("platform.value_bytes=") + size + "\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(size, std::size_t{1}, file.invalidFields_.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(size, platform::NodeSettings().maxValueBytes_, file.settings_.maxValueBytes_);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{65'536}, platform::parseSettings("platform.value_bytes=65536\n").settings_.maxValueBytes_);
    }

    void base64RoundTrips()
    {
        CPPUNIT_ASSERT(rc::check("base64", [](const std::string &bytes) { RC_ASSERT(platform::fromBase64(platform::toBase64(bytes)) == bytes); }));
        CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"), platform::toBase64("node-1"));
    }

    void invalidBase64IsRejected()
    {
        for (const char *text : {"bm9", "b", "bm9k!S0x", "=bm9"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !platform::fromBase64(text).has_value());
        }
    }

    void jobIsDecoded()
    {
        const auto job = value(platform::decodeJob(R"({"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":2,"estimate_ms":900,)"
                                                   R"("affinity":"r1-3"},{"count":20,"after":[0],"checkpoints":true,"gang":true,"same_rack":true}]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, job.steps_.size());
        CPPUNIT_ASSERT(job.steps_[0].taskDemand_ == batch::ResourceVector({500, 256, 2}));
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), job.steps_[0].affinity_);
        CPPUNIT_ASSERT(job.steps_[1].gang_ && job.steps_[1].checkpointable_ && job.steps_[1].sameRack_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.steps_[1].dependencies_.at(0));
    }

    void malformedJobsAreRejected()
    {
        const std::string longSpec(4'001, 'x');
        for (const std::string &body : {std::string("{"),
                                        std::string("[]"),
                                        std::string(R"({"spec":"s"})"),
                                        std::string(R"({"steps":[]})"),
                                        std::string(R"({"steps":[{"count":0}]})"),
                                        std::string(R"({"steps":[{"count":-1}]})"),
                                        std::string(R"({"steps":[{"count":"two"}]})"),
                                        std::string(R"({"steps":[{"after":[0]}]})"),
                                        std::string(R"({"steps":[{"after":[1]},{}]})"),
                                        std::string(R"({"steps":[{"count":100000000}]})"),
                                        std::string(R"({"repeats":1000000,"steps":[{"count":1000}]})"),
                                        R"({"spec":")" + longSpec + R"(","steps":[{}]})"}) {
            (void)errorOf<DocumentError>([&] { return platform::decodeJob(body); });
        }
    }

    void numbersOutOfRangeInJobsAreRejected()
    {
        const auto isRejected
            = [](const std::string &body) { return errorOf<DocumentError>([&] { return platform::decodeJob(body); }).code_ == DocumentErrc::WrongField; };
        for (const char *field : {"cpu", "mem_mb", "gpu", "estimate_ms", "target_ms", "count", "anti_affinity", "may_miss"}) {
            CPPUNIT_ASSERT_MESSAGE(field, isRejected(std::string(R"({"steps":[{")") + field + R"(":9223372036854775807}]})"));
        }
        for (const char *field : {"repeats", "first_run_ms", "interval_ms"}) {
            CPPUNIT_ASSERT_MESSAGE(field, isRejected(std::string(R"({")") + field + R"(":9223372036854775807,"steps":[{}]})"));
        }
        for (const char *field : {R"("repeats":4294967297,"steps":[{}])", R"("steps":[{"count":4294967297}])", R"("steps":[{},{"after":[4294967296]}])"}) {
            CPPUNIT_ASSERT_MESSAGE(field, isRejected(std::string("{") + field + "}"));
        }
    }

    void taskNamesRoundTrip()
    {
        const batch::TaskId task{JobId("5c0e7a21d94b36f8"), 2, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.2.1.17"), platform::taskName(task));
        CPPUNIT_ASSERT(platform::parseTaskName(platform::taskName(task)) == task);
    }

    void malformedTaskNamesAreRejected()
    {
        for (const char *name :
             {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.x", "5c0e7a21d94b36f8.0.1.2.3", "zz0e7a21d94b36f8.0.1.2"}) {
            CPPUNIT_ASSERT_MESSAGE(name, !platform::parseTaskName(name).has_value());
        }
    }

    void configIsDecodedAndRoutesMatch()
    {
        const auto config = value(platform::decodeConfig(R"({"version":7,"routes":[{"host":"h","prefix":"/a/","service":"s","priority":1},)"
                                                         R"({"host":"h","prefix":"/a/b/","service":"s","max_attempts":3,"stretch":1.5}],)"
                                                         R"("tenants":[{"name":"w","api_keys":["k"],"guaranteed":{"gpu":16}}]})"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, config.version_);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), config.route("h", "/a/b/c")->prefix_);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), config.route("h", "/a/c")->prefix_);
        CPPUNIT_ASSERT(config.route("other", "/a/c") == nullptr);
        CPPUNIT_ASSERT(config.workspaceOfKey("k") != nullptr && config.workspaceOfKey("") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16}, config.guaranteed(WorkspaceId("w")));
    }

    void illTypedConfigIsRejected()
    {
        for (const char *text : {"", "[]", R"({"version":"7"})", R"({"version":7,"routes":[{"host":"h"}]})", R"({"version":7,"routes":{}})"}) {
            (void)errorOf<DocumentError>([&] { return platform::decodeConfig(text); });
        }
    }

    void illTypedNestedFieldsOfConfigAreRejected()
    {
        for (const char *text : {R"({"tenants":[{"name":"t","guaranteed":{"gpu":"8"}}]})",
                                 R"({"tenants":[{"name":"t","api_keys":[7]}]})",
                                 R"({"limits":{"max_body_bytes":"many"}})",
                                 R"({"routes":[{"prefix":"/n/","advice":{"decide_ms":"soon"}}]})",
                                 R"({"routes":[{"prefix":"/n/","priority":4294967296}]})",
                                 R"({"routes":[{"prefix":"/n/","stretch":-1}]})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, errorOf<DocumentError>([&] { return platform::decodeConfig(text); }).code_ == DocumentErrc::WrongField);
        }
    }

    void heartbeatIsDecoded()
    {
        const auto decoded = value(platform::decodeHeartbeat("i-1", heartbeat("\"ready\"")));
        CPPUNIT_ASSERT(decoded.executor_.incarnation_.executor_ == ExecutorId("i-1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, decoded.executor_.incarnation_.startTimeMs_);
        CPPUNIT_ASSERT(decoded.executor_.capacity_ == batch::ResourceVector({16'000, 32'768, 8}));
        CPPUNIT_ASSERT(!decoded.executor_.draining_);
        CPPUNIT_ASSERT(value(platform::decodeHeartbeat("i-1", heartbeat("\"draining\""))).executor_.draining_);
    }

    void malformedHeartbeatsAreRejected()
    {
        const std::string nullCapacity = R"({"service":"s","zone":"z","state":"ready","capacity":null})";
        const std::string hugeCapacity = R"({"service":"s","zone":"z","state":"ready","capacity":{"cpu":9223372036854775807}})";
        for (const std::string &body :
             {std::string("\xff\xfe"), std::string("{}"), heartbeat("\"resting\""), heartbeat("7"), std::string("null"), nullCapacity, hugeCapacity}) {
            (void)errorOf<DocumentError>([&] { return platform::decodeHeartbeat("i-1", body); });
        }
        for (const std::string &id : {std::string(), std::string("\xff"), std::string("a\r\nb"), std::string(300, 'x')}) {
            (void)errorOf<DocumentError>([&] { return platform::decodeHeartbeat(id, heartbeat("\"ready\"")); });
        }
    }

private:
    static std::string heartbeat(const std::string &state)
    {
        return R"({"service":"s","zone":"z","state":)" + state + R"(,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"],"born":9,"seq":4})";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);

}
