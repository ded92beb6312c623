#include "bergamotwick/bergamotwick.h"
#include "daemon/settings.h"
#include "support/expect.h"

namespace bergamotwick::test {

class ExamplesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExamplesTest);
    CPPUNIT_TEST(exampleFoldersAreValid);
    CPPUNIT_TEST(invalidProcessSettingsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    void exampleFoldersAreValid()
    {
        for (const char *folder : {"examples/pannonia", "examples/is-south"}) {
            const Config config = value(Config::fromTree(value(SettingsTree::readFolder(folder))));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, config.regions_.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, config.regions_.begin()->second.dataCentres_.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, config.workspaces_.size());
        }
        const SettingsTree tree = value(SettingsTree::readFolder("examples/pannonia"));
        CPPUNIT_ASSERT_EQUAL(std::string("90-contest-week.yaml"), tree.find("services.nevezes-svc.classes.schedule.max-slots-percent")->source_.file_);
    }

    void invalidProcessSettingsAreRejected()
    {
        const std::string good
            = "role: worker\nname: w\nregion: r\ndatacentre: d\nrack: k\nudp: 127.0.0.1:7000\ncores: 4\nmemory: 8GB\nentries: [127.0.0.1:7001]\n";
        CPPUNIT_ASSERT(value(Settings::parse("w.yaml", good)).agent_.capacity_.memoryMb_ == 8'000);
        const auto configErrorOf = [&](const std::string &more) { return errorOf<ConfigError>([&] { return Settings::parse("w.yaml", more); }); };
        CPPUNIT_ASSERT(configErrorOf(good + "colour: red\n").code_ == ConfigErrc::UnknownKey);
        CPPUNIT_ASSERT(configErrorOf("role: worker\n").code_ == ConfigErrc::MissingKey);
        CPPUNIT_ASSERT(configErrorOf("role: king\n").code_ == ConfigErrc::WrongType);
        CPPUNIT_ASSERT_EQUAL(std::string("w.yaml:10:11"), configErrorOf(good + "endpoint: \"\"\n").location_.str());
        CPPUNIT_ASSERT(configErrorOf(good + "slots: 0\n").code_ == ConfigErrc::OutOfRange);
        CPPUNIT_ASSERT(configErrorOf("udp: localhost\n").code_ == ConfigErrc::WrongType);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}
