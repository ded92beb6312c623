#include "support/expect.h"
#include "wire/codec.h"

#include <random>

namespace bergamotwick::test {

namespace {

AgentReport sampleReport()
{
    AgentReport report;
    report.name_ = "worker-1";
    report.incarnation_ = 7;
    report.sequence_ = 3;
    report.sentAt_ = Instant(5s);
    report.capacity_ = {60, 130'000, 8};
    report.members_ = {{JobId("job"), 2, 4, MemberPhase::Prepared}};
    report.digest_ = membersDigest(report.members_);
    return report;
}

std::vector<Message> samples()
{
    Directive directive;
    directive.entry_ = EntryId("entry-1");
    directive.agent_ = "worker-1";
    directive.orders_ = {{JobId("job"), 2, 4, {1, 2, 3}, MemberAction::Run, "payload"}};
    directive.lease_ = 10s;
    AttemptRequest attempt;
    attempt.id_ = {1, 2, 3};
    attempt.body_ = std::string("\0\xff binary", 9);
    AttemptReply reply;
    reply.id_ = {1, 2, 3};
    reply.outcome_ = AttemptOutcome::Answered;
    reply.status_ = 200;
    return {sampleReport(), directive, attempt, reply};
}

WireErrc faultOf(const std::string &bytes)
{
    return errorOf<WireError>([&] { return decodeMessage(bytes); }).code_;
}

}

class WireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(faultsAreTyped);
    CPPUNIT_TEST(implausibleValuesAreRefused);
    CPPUNIT_TEST(damagedBytesNeverPass);
    CPPUNIT_TEST_SUITE_END();

    void messagesRoundTrip()
    {
        for (const Message &message : samples()) {
            const std::string bytes = encodeMessage(message);
            const Message again = value(decodeMessage(bytes));
            CPPUNIT_ASSERT_EQUAL(message.index(), again.index());
            CPPUNIT_ASSERT_EQUAL(bytes, encodeMessage(again));
        }
    }

    void faultsAreTyped()
    {
        const std::string good = encodeMessage(sampleReport());
        CPPUNIT_ASSERT(faultOf("") == WireErrc::Truncated);
        CPPUNIT_ASSERT(faultOf(good.substr(0, 9)) == WireErrc::Truncated);
        CPPUNIT_ASSERT(faultOf(good.substr(0, good.size() - 1)) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(faultOf(std::string(maxFrameBytes + 1, 'x')) == WireErrc::Oversized);
        std::string other = good;
        other[4] = 9;
        CPPUNIT_ASSERT(faultOf(other) == WireErrc::WrongVersion);
        other = good;
        other[5] = 200;
        CPPUNIT_ASSERT(faultOf(other) == WireErrc::Corrupt);
    }

    void implausibleValuesAreRefused()
    {
        const auto broken = [](auto change) {
            AgentReport report = sampleReport();
            change(report);
            return faultOf(encodeMessage(report));
        };
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.name_.clear(); }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.name_ = "\xff"; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.capacity_.cores_ = -1; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.members_[0].tasks_ = -4; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.members_[0].phase_ = static_cast<MemberPhase>(99); }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.digest_ = 1; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.sentAt_ = Instant(Duration(-1)); }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(broken([](AgentReport &report) { report.sentAt_ = Instant(Duration::max()); }) == WireErrc::Corrupt);
    }

    void damagedBytesNeverPass()
    {
        std::mt19937_64 random(11);
        for (const Message &message : samples()) {
            const std::string good = encodeMessage(message);
            for (int i = 0; i < 3'000; ++i) {
                std::string bytes = good;
                bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
                bytes.resize(bytes.size() - (i % 3 == 0 ? random() % bytes.size() : 0));
                (void)faultOf(bytes);
            }
        }
        for (int i = 0; i < 3'000; ++i) {
            std::string noise(random() % 200, '\0');
            for (char &byte : noise) {
                byte = static_cast<char>(random());
            }
            (void)faultOf(noise);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);

}
