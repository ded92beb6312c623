// Feeds corrupt input to every decoder. Each must return a value or an error of its documented types for any bytes.

#include "core/commit/claims.h"
#include "core/commit/control.h"
#include "core/scheduling/job_record.h"
#include "daemon/settings.h"
#include "store/gateway_json.h"
#include "support/expect.h"
#include "support/world.h"

#include <functional>
#include <random>

namespace bergamotwick::test {

namespace {

struct Decoder
{
    const char *name_;
    std::string sample_;
    std::function<bool(const std::string &)> decodes_; ///< returns whether decoding succeeded
};

template<class Decode>
std::function<bool(const std::string &)> makeDecoder(Decode decode)
{
    return [decode](const std::string &text) {
        return leaf::try_handle_all(
            [&]() -> Result<bool> {
                auto result = decode(text);
                if (!result) {
                    return result.error();
                }
                return true;
            },
            [](const DocumentError &) { return false; },
            [](const ConfigError &) { return false; },
            [](const StoreError &) { return false; },
            []() -> bool {
                CPPUNIT_FAIL("decoder returned an error of an unexpected type");
                return false;
            });
    };
}

std::string sampleShard()
{
    JobShard shard;
    shard.epoch_ = 7;
    JobRecord record;
    record.spec_ = Simulation::jobSpec("job", 3, 8);
    record.state_ = JobState::Running;
    record.members_ = {{WorkerId("a"), 1}, {WorkerId("b"), 2}};
    shard.jobs_.emplace(record.spec_.id_, record);
    return encodeShard(shard);
}

std::string sampleControl()
{
    ControlDocument control;
    control.revision_ = 4;
    control.settings_ = Simulation::settings(4, 8);
    control.outOfService_.insert(DataCentreId("dc1"));
    control.recentOperations_.emplace_back("op");
    return ControlTraits::encode(control);
}

std::string sampleClaims()
{
    ClaimDocument claims;
    claims.claims_["0123456789abcdef"] = {"1/2", 99};
    return ClaimTraits::encode(claims);
}

std::vector<Decoder> decoders()
{
    const PollKeys poll{1, {{"control", false, 0}, {"entries/", true, 0}}};
    const std::string pollReply
        = R"({"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[{"key":"a2V5","value":"dmFsdWU=","mod_revision":"7"}]}},{}]})";
    return {
        {"jobs", sampleShard(), makeDecoder(decodeShard)},
        {"job of a caller", R"({"workspace":"jury","tasks":2,"accelerators":8,"within":"rack","urgent":true})", makeDecoder(decodeJobSpec)},
        {"control", sampleControl(), makeDecoder(ControlTraits::decode)},
        {"claims", sampleClaims(), makeDecoder(ClaimTraits::decode)},
        {"settings", Simulation::settings(4, 8).toJson(), makeDecoder(SettingsTree::fromJson)},
        {"process settings",
         "role: worker\nname: w\nregion: r\ndatacentre: d\nrack: k\nudp: 127.0.0.1:7000\ncores: 4\nmemory: 8GB\nentries: [127.0.0.1:7001]\n",
         makeDecoder([](const std::string &text) { return Settings::parse("w.yaml", text); })},
        {"gateway", pollReply, makeDecoder([poll](const std::string &text) { return decodeGatewayReply(poll, text); })},
    };
}

}

class DecodersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecodersTest);
    CPPUNIT_TEST(samplesAreDecoded);
    CPPUNIT_TEST(corruptInputGivesTypedErrors);
    CPPUNIT_TEST(documentsRoundTrip);
    CPPUNIT_TEST_SUITE_END();

    void samplesAreDecoded()
    {
        for (const Decoder &decoder : decoders()) {
            CPPUNIT_ASSERT_MESSAGE(decoder.name_, decoder.decodes_(decoder.sample_));
        }
    }

    void corruptInputGivesTypedErrors()
    {
        std::mt19937_64 random(5);
        for (const Decoder &decoder : decoders()) {
            int rejected = 0;
            for (int i = 0; i < 2'000; ++i) {
                std::string text = decoder.sample_;
                for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes) {
                    text[random() % text.size()] = static_cast<char>(random());
                }
                text.resize(text.size() - (i % 4 == 0 ? random() % text.size() : 0));
                rejected += decoder.decodes_(text) ? 0 : 1;
            }
            CPPUNIT_ASSERT_MESSAGE(decoder.name_, rejected > 500);
            CPPUNIT_ASSERT(!decoder.decodes_(std::string(5'000, '[')));
        }
    }

    void documentsRoundTrip()
    {
        CPPUNIT_ASSERT_EQUAL(sampleShard(), encodeShard(value(decodeShard(sampleShard()))));
        CPPUNIT_ASSERT_EQUAL(sampleControl(), ControlTraits::encode(value(ControlTraits::decode(sampleControl()))));
        CPPUNIT_ASSERT_EQUAL(sampleClaims(), ClaimTraits::encode(value(ClaimTraits::decode(sampleClaims()))));
        for (const std::string &bytes : {std::string(), std::string("a"), std::string("ab"), std::string("abc"), std::string("\0\xff\x10", 3)}) {
            CPPUNIT_ASSERT(fromBase64(toBase64(bytes)) == bytes);
        }
        CPPUNIT_ASSERT(fromBase64("!!").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodersTest);

}
